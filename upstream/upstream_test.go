package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/segment"
	"nutmeglock.example/nutmeglock/upstream"
)

const idField = "X-Id"

// scriptedUpstream is an upstream that handles each connection with a function.
type scriptedUpstream struct {
	address     string
	connections atomic.Int64
}

func startScripted(t *testing.T, handle func(conn net.Conn, in *bufio.Reader)) *scriptedUpstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedUpstream{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// readRequest reads one request and returns its id and body. ok is false at the end.
func readRequest(in *bufio.Reader) (id string, body []byte, ok bool) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return "", nil, false
	}
	body, err = io.ReadAll(request.Body)
	return request.Header.Get(idField), body, err == nil
}

func writeAnswer(conn net.Conn, id, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": "+id+"\r\nContent-Length: "+
		strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func newClient(t *testing.T) *upstream.Client {
	t.Helper()
	c := &upstream.Client{EchoedID: func(h http.Header) fleet.RequestID { return fleet.RequestID(h.Get(idField)) }}
	t.Cleanup(c.Close)
	return c
}

func newRequest(id string, body []byte) upstream.Request {
	return upstream.Request{
		ID: fleet.RequestID(id), Method: http.MethodPost, URI: "/a?b=c", Host: "orders.example",
		Header: http.Header{idField: {id}}, Body: segment.Of(body),
	}
}

func exchangeBody(t *testing.T, c *upstream.Client, address, id string) (string, error) {
	t.Helper()
	got, err := c.Do(t.Context(), address, newRequest(id, []byte("body of "+id)))
	if err != nil {
		return "", err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	t.Parallel()
	s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			id, body, ok := readRequest(in)
			if !ok {
				return
			}
			writeAnswer(conn, id, "re: "+string(body))
		}
	})
	c := newClient(t)
	for _, id := range []string{"1", "2", "3"} {
		got, err := exchangeBody(t, c, s.address, id)
		require.NoError(t, err)
		require.Equal(t, "re: body of "+id, got)
	}
	require.Equal(t, int64(1), s.connections.Load())
}

// Guards against giving a caller another caller's answer: an upstream answers a request a second
// time on a pooled connection, where the next request's answer is expected.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	t.Parallel()
	s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
		first, _, _ := readRequest(in)
		writeAnswer(conn, first, "first")
		second, _, ok := readRequest(in)
		if !ok {
			return
		}
		writeAnswer(conn, first, "first again")
		writeAnswer(conn, second, "second")
	})
	c := newClient(t)
	got, err := exchangeBody(t, c, s.address, "1")
	require.NoError(t, err)
	require.Equal(t, "first", got)
	got, err = exchangeBody(t, c, s.address, "2")
	require.NoError(t, err)
	require.Equal(t, "second", got)
}

// A connection on which a second answer has already arrived is closed, and the next request uses a
// new one.
func TestConnectionWithLeftOverBytesIsNotUsed(t *testing.T) {
	t.Parallel()
	written := make(chan struct{}, 2)
	s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
		id, _, _ := readRequest(in)
		writeAnswer(conn, id, "one")
		writeAnswer(conn, id, "two")
		written <- struct{}{}
		_, _, _ = readRequest(in)
	})
	c := newClient(t)
	_, err := exchangeBody(t, c, s.address, "1")
	require.NoError(t, err)
	<-written // a loaded machine may take long to run the upstream's goroutine again
	time.Sleep(20 * time.Millisecond)
	got, err := exchangeBody(t, c, s.address, "2")
	require.NoError(t, err)
	require.Equal(t, "one", got)
	require.Equal(t, int64(2), s.connections.Load())
}

// Guards against sending a request on an idle connection that the upstream has closed. It would be
// lost, and couldn't be retried if it must not run twice.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 2)
	s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
		id, _, _ := readRequest(in)
		writeAnswer(conn, id, "ok")
		_ = conn.Close()
		closed <- struct{}{}
	})
	c := newClient(t)
	for _, id := range []string{"1", "2"} {
		_, err := exchangeBody(t, c, s.address, id)
		require.NoError(t, err)
		<-closed // a loaded machine may take long to run the upstream's goroutine again
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), s.connections.Load())
}

// When nothing listens at the address, no byte was sent and the request is known not to have run.
func TestRefusedConnectionHasSentNothing(t *testing.T) {
	t.Parallel()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = exchangeBody(t, newClient(t), address, "1")
	var failed *upstream.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// After a broken, invalid or incomplete answer the upstream may have run the request.
func TestBrokenAnswerCountsAsSent(t *testing.T) {
	t.Parallel()
	cases := map[string]string{
		"nothing":         "",
		"no answer":       "what?\r\n\r\n",
		"half a header":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConte",
		"half a body":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n12345",
		"no last chunk":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"doubled lengths": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12",
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
				_, _, _ = readRequest(in)
				_, _ = io.WriteString(conn, bytes)
			})
			_, err := exchangeBody(t, newClient(t), s.address, "1")
			var failed *upstream.Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
		})
	}
}

// An answer without a length ends with its connection. If the connection was reset instead of
// closed, the answer must not look complete.
func TestAnswerWithoutLengthIsCompleteOnlyAfterACleanEnd(t *testing.T) {
	t.Parallel()
	for _, clean := range []bool{true, false} {
		s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
			_, _, _ = readRequest(in)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf")
			if !clean {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		got, err := exchangeBody(t, newClient(t), s.address, "1")
		if clean {
			require.NoError(t, err)
			require.Equal(t, "half", got)
			continue
		}
		require.Error(t, err)
	}
}

// An upstream may answer a long request before it has read all of it, and read on. The rest of the
// body must follow before the next request.
func TestEarlyAnswerIsFollowedByTheRestOfTheBody(t *testing.T) {
	t.Parallel()
	long := bytes.Repeat([]byte("x"), 3<<20)
	bodies := make(chan int, 2)
	s := startScripted(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := request.Header.Get(idField)
			writeAnswer(conn, id, "early")
			time.Sleep(50 * time.Millisecond)
			body, _ := io.ReadAll(request.Body)
			bodies <- len(body)
		}
	})
	c := newClient(t)
	got, err := c.Do(t.Context(), s.address, newRequest("1", long))
	require.NoError(t, err)
	body, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	require.Equal(t, len(long), <-bodies)
	got, err = c.Do(t.Context(), s.address, newRequest("2", []byte("short")))
	require.NoError(t, err)
	defer got.Body.Close()
	require.Equal(t, 5, <-bodies)
}

// When a caller disconnects, its connection to the upstream is closed at once, so that the upstream
// stops.
func TestCancelClosesTheConnection(t *testing.T) {
	t.Parallel()
	read, closed := make(chan struct{}), make(chan struct{})
	s := startScripted(t, func(_ net.Conn, in *bufio.Reader) {
		_, _, _ = readRequest(in)
		close(read)
		_, _ = in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	left := errors.New("left")
	go func() {
		<-read
		cancel(left)
	}()
	_, err := newClient(t).Do(ctx, s.address, newRequest("1", nil))
	require.ErrorIs(t, err, left)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream's connection was not closed")
	}
}

// When a caller disconnects while the upstream connection is being opened, the error's cause is the
// disconnect and not a failed connection, or the upstream would be taken for dead. Nothing was
// sent.
func TestCancelWhileConnectingReturnsTheCause(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancelCause(t.Context())
	left := errors.New("left")
	cancel(left)
	_, err := newClient(t).Do(ctx, "127.0.0.1:1", newRequest("1", nil))
	require.ErrorIs(t, err, left)
	var failed *upstream.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}
