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
	"nutmeglock.example/nutmeglock/upstream"
)

const idField = "X-Id"

// script is an upstream that handles each connection by a function.
type script struct {
	address     string
	connections atomic.Int64
}

func play(t *testing.T, handle func(conn net.Conn, in *bufio.Reader)) *script {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &script{address: listener.Addr().String()}
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

// next reads one request and returns its id and body, or false at the end.
func next(in *bufio.Reader) (id string, body []byte, ok bool) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return "", nil, false
	}
	body, err = io.ReadAll(request.Body)
	return request.Header.Get(idField), body, err == nil
}

func answer(conn net.Conn, id, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": "+id+"\r\nContent-Length: "+
		strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func newClient(t *testing.T) *upstream.Client {
	t.Helper()
	c := &upstream.Client{Echoed: func(h http.Header) fleet.RequestID { return fleet.RequestID(h.Get(idField)) }}
	t.Cleanup(c.Close)
	return c
}

func request(id string, body []byte) upstream.Request {
	return upstream.Request{
		ID: fleet.RequestID(id), Method: http.MethodPost, URI: "/a?b=c", Host: "orders.example",
		Header: http.Header{idField: {id}}, Body: body,
	}
}

func ask(t *testing.T, c *upstream.Client, address, id string) (string, error) {
	t.Helper()
	got, err := c.Do(t.Context(), address, request(id, []byte("body of "+id)))
	if err != nil {
		return "", err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return string(body), err
}

func TestConnectionIsUsedAgain(t *testing.T) {
	t.Parallel()
	s := play(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			id, body, ok := next(in)
			if !ok {
				return
			}
			answer(conn, id, "re: "+string(body))
		}
	})
	c := newClient(t)
	for _, id := range []string{"1", "2", "3"} {
		got, err := ask(t, c, s.address, id)
		require.NoError(t, err)
		require.Equal(t, "re: body of "+id, got)
	}
	require.Equal(t, int64(1), s.connections.Load())
}

// An upstream sends a second answer to a request after the connection was
// already kept, so it lies where the answer to the next request is expected.
// Taken for that one, a caller would be given another caller's order.
func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	t.Parallel()
	s := play(t, func(conn net.Conn, in *bufio.Reader) {
		first, _, _ := next(in)
		answer(conn, first, "first")
		second, _, ok := next(in)
		if !ok {
			return
		}
		answer(conn, first, "first again")
		answer(conn, second, "second")
	})
	c := newClient(t)
	got, err := ask(t, c, s.address, "1")
	require.NoError(t, err)
	require.Equal(t, "first", got)
	got, err = ask(t, c, s.address, "2")
	require.NoError(t, err)
	require.Equal(t, "second", got)
}

// The second answer has already arrived when the connection would be used
// again. It is given up, and the next request goes on a new connection.
func TestConnectionWithLeftOverBytesIsNotUsed(t *testing.T) {
	t.Parallel()
	s := play(t, func(conn net.Conn, in *bufio.Reader) {
		id, _, _ := next(in)
		answer(conn, id, "one")
		answer(conn, id, "two")
		_, _, _ = next(in)
	})
	c := newClient(t)
	_, err := ask(t, c, s.address, "1")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	got, err := ask(t, c, s.address, "2")
	require.NoError(t, err)
	require.Equal(t, "one", got)
	require.Equal(t, int64(2), s.connections.Load())
}

// An upstream closes an idle connection. A request that is sent on it is lost,
// and if it must not run twice its caller can't be helped; so the close is
// noticed before anything is sent.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	t.Parallel()
	s := play(t, func(conn net.Conn, in *bufio.Reader) {
		id, _, _ := next(in)
		answer(conn, id, "ok")
	})
	c := newClient(t)
	for _, id := range []string{"1", "2"} {
		_, err := ask(t, c, s.address, id)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), s.connections.Load())
}

// Nothing listens at the address. No byte has left, so the caller may be told
// that its request wasn't run.
func TestRefusedConnectionHasSentNothing(t *testing.T) {
	t.Parallel()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = ask(t, newClient(t), address, "1")
	var failed *upstream.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// An upstream reads a request and resets the connection, or answers with bytes
// that are no answer, or only with a part of one. It may have run the request.
func TestBrokenAnswersMayHaveRun(t *testing.T) {
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
			s := play(t, func(conn net.Conn, in *bufio.Reader) {
				_, _, _ = next(in)
				_, _ = io.WriteString(conn, bytes)
			})
			_, err := ask(t, newClient(t), s.address, "1")
			var failed *upstream.Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
		})
	}
}

// An answer without a length ends with its connection. One whose connection is
// reset on the way isn't whole, and must not look so.
func TestAnswerWithoutLengthIsWholeOnlyAfterACleanEnd(t *testing.T) {
	t.Parallel()
	for _, clean := range []bool{true, false} {
		s := play(t, func(conn net.Conn, in *bufio.Reader) {
			_, _, _ = next(in)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf")
			if !clean {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		got, err := ask(t, newClient(t), s.address, "1")
		if clean {
			require.NoError(t, err)
			require.Equal(t, "half", got)
			continue
		}
		require.Error(t, err)
	}
}

// An upstream answers a long request before it has read all of it, keeps the
// connection and reads on. The rest of the body has to come, not the next request.
func TestEarlyAnswerIsFollowedByTheRestOfTheBody(t *testing.T) {
	t.Parallel()
	long := bytes.Repeat([]byte("x"), 3<<20)
	bodies := make(chan int, 2)
	s := play(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := request.Header.Get(idField)
			answer(conn, id, "early")
			time.Sleep(50 * time.Millisecond)
			body, _ := io.ReadAll(request.Body)
			bodies <- len(body)
		}
	})
	c := newClient(t)
	got, err := c.Do(t.Context(), s.address, request("1", long))
	require.NoError(t, err)
	body, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	require.Equal(t, len(long), <-bodies)
	got, err = c.Do(t.Context(), s.address, request("2", []byte("short")))
	require.NoError(t, err)
	defer got.Body.Close()
	require.Equal(t, 5, <-bodies)
}

// A caller leaves. The upstream sees its connection close at once, and stops.
func TestCancelClosesTheConnection(t *testing.T) {
	t.Parallel()
	read, closed := make(chan struct{}), make(chan struct{})
	s := play(t, func(_ net.Conn, in *bufio.Reader) {
		_, _, _ = next(in)
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
	_, err := newClient(t).Do(ctx, s.address, request("1", nil))
	require.ErrorIs(t, err, left)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream was not told")
	}
}

// A caller leaves while the connection to its upstream is being opened. The cause
// is the caller's leaving and not a connection that failed, or the upstream would
// be held to be dead; and nothing was sent.
func TestCancelWhileConnectingTellsTheCause(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancelCause(t.Context())
	left := errors.New("left")
	cancel(left)
	_, err := newClient(t).Do(ctx, "127.0.0.1:1", request("1", nil))
	require.ErrorIs(t, err, left)
	var failed *upstream.Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}
