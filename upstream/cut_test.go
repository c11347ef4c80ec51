package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/upstream"
)

// Guards against an upstream's crash in the middle of an answer: wherever the answer is cut, it
// must not look complete, and the request must not be reported as not run.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, whole := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\n" + idField + ": a\r\nContent-Length: 5\r\n\r\nhello",
		"chunks": "HTTP/1.1 200 OK\r\n" + idField + ": a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cut atomic.Int64
			s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
				if _, _, ok := readRequest(in); ok {
					_, _ = io.WriteString(conn, whole[:cut.Load()])
				}
			})
			for at := range len(whole) + 1 {
				cut.Store(int64(at))
				got, err := exchangeBody(t, newClient(t), s.address, "a")
				if at == len(whole) {
					require.NoError(t, err)
					require.Equal(t, "hello", got)
					continue
				}
				require.Error(t, err, "cut at %d", at)
				var failed *upstream.Error
				if errors.As(err, &failed) {
					require.True(t, failed.Sent, "cut at %d", at)
				}
			}
		})
	}
}

// FuzzAnswer sends arbitrary answers. One that is relayed as complete has the request's id and a
// body of the stated length; nothing hangs or panics.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nhello"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nhel\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n"))
	f.Add([]byte("\x00\x01garbage\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
			if _, _, ok := readRequest(in); ok {
				_, _ = conn.Write(data)
			}
		})
		client := newClient(t)
		begin := time.Now()
		answer, err := client.Do(t.Context(), s.address, newRequest("a", nil))
		if err == nil {
			var body []byte
			body, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if err == nil && answer.Header.Get("Content-Length") != "" && answer.Status != 204 && answer.Status != 304 {
				require.Equal(t, answer.Header.Get("Content-Length"), strconv.Itoa(len(body)))
			}
			require.Contains(t, []string{"a", ""}, answer.Header.Get(idField))
		}
		require.Less(t, time.Since(begin), 5*time.Second)
	})
}
