package upstream_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/upstream"
)

// Guards against an upstream that fills the router's memory with bytes that never become the header of an answer.
func TestHeaderWithoutEnd(t *testing.T) {
	t.Parallel()
	const most = 8 << 20
	for name, c := range map[string]struct{ begin, repeated string }{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"field":           {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"fields":          {"HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"interim fields":  {"HTTP/1.1 103 Early Hints\r\n", "X-More: a\r\n"},
		"stray answers":   {"", "HTTP/1.1 200 OK\r\n" + idField + ": other\r\nContent-Length: 0\r\n\r\n"},
		"stray body":      {"HTTP/1.1 200 OK\r\n" + idField + ": other\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			closed := make(chan struct{})
			s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
				defer close(closed)
				if _, _, ok := readRequest(in); !ok {
					return
				}
				_, err := io.WriteString(conn, c.begin)
				chunk := strings.Repeat(c.repeated, 4096/len(c.repeated)+1)
				for err == nil && sent.Load() < most {
					_, err = io.WriteString(conn, chunk)
					sent.Add(int64(len(chunk)))
				}
			})
			_, err := exchangeBody(t, newClient(t), s.address, "a")
			var failed *upstream.Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
			var (
				head  *upstream.HeadTooLargeError
				stray *upstream.StrayAnswersError
			)
			if strings.HasPrefix(name, "stray") {
				require.ErrorAs(t, err, &stray)
			} else {
				require.ErrorAs(t, err, &head)
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				require.Fail(t, "the connection was not closed")
			}
			require.Less(t, sent.Load(), int64(most), "the connection is closed before all was sent")
		})
	}
}

// Guards against the bound on headers cutting off a long body, or counting interim answers that are sound.
func TestLongBodyAfterInterimAnswers(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("b", 1<<20)
	s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
		if _, _, ok := readRequest(in); ok {
			_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 8)+
				"HTTP/1.1 200 OK\r\n"+idField+": a\r\nContent-Length: 1048576\r\n\r\n"+body)
		}
	})
	got, err := exchangeBody(t, newClient(t), s.address, "a")
	require.NoError(t, err)
	require.Equal(t, body, got)
}
