package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/upstream"
)

// identityClient returns a client that asks at /started.
func identityClient(t *testing.T) *upstream.Client {
	t.Helper()
	client := &upstream.Client{
		EchoedID: func(h http.Header) fleet.RequestID { return fleet.RequestID(h.Get(idField)) },
		Identity: &upstream.Identity{Path: "/started", Parse: func(body []byte) (registry.StartTime, bool) {
			started, err := strconv.ParseInt(string(body), 10, 64)
			return registry.StartTime(started), err == nil
		}},
	}
	t.Cleanup(client.Close)
	return client
}

// serveStarted answers questions for the start time with a text, and other requests with their id.
// It sends stray answers to other requests first.
func serveStarted(started string, strays int, asked, ran *atomic.Int64) func(conn net.Conn, in *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := request.Header.Get(idField)
			body := id
			if request.URL.Path == "/started" {
				asked.Add(1)
				body = started
				for range strays {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 1\r\n\r\n7", idField)
				}
			} else {
				ran.Add(1)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idField, id, len(body), body)
		}
	}
}

// Guards against a request that is sent to a process that has restarted at the address and under the
// id of the one that was meant.
func TestRequestIsSentOnlyToTheProcessThatIsMeant(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		started  string
		expected registry.StartTime
		strays   int
		sent     bool
		asked    int
	}{
		{name: "the same process", started: "7", expected: 7, sent: true, asked: 1},
		{name: "another process", started: "8", expected: 7, asked: 2},
		{name: "answers to other requests first", started: "8", strays: 1, expected: 7, asked: 2},
		{name: "it does not tell", started: "-", expected: 7, sent: true, asked: 1},
		{name: "any process", started: "8", sent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var asked, ran atomic.Int64
			s := startScripted(t, serveStarted(c.started, c.strays, &asked, &ran))
			client := identityClient(t)
			for range 2 {
				answer, err := client.Do(t.Context(), s.address, upstream.Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idField: {"a"}}, Process: c.expected})
				if c.sent {
					require.NoError(t, err)
					require.NoError(t, readAndClose(answer))
					continue
				}
				var failed *upstream.Error
				require.ErrorAs(t, err, &failed)
				require.False(t, failed.Sent)
				var other *upstream.OtherProcessError
				require.ErrorAs(t, err, &other)
				require.Equal(t, upstream.OtherProcessError{Expected: 7, Found: 8}, *other)
			}
			require.EqualValues(t, c.asked, asked.Load(), "each connection is asked once")
			require.Equal(t, c.sent, ran.Load() > 0)
		})
	}
}

// readAndClose reads an answer to its end, so that its connection can be used again.
func readAndClose(answer *upstream.Answer) error {
	_, err := io.Copy(io.Discard, answer.Body)
	return errors.Join(err, answer.Body.Close())
}
