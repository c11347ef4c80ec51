package upload_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/upload"
)

const requestHeader = "POST / HTTP/1.1\r\n\r\n"

// connect returns both ends of a connection.
func connect(t *testing.T) (client *upload.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	opened, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = opened.Close()
		_ = accepted.Close()
	})
	return &upload.Conn{Conn: opened}, accepted.(*net.TCPConn)
}

func readAll(c *upload.Conn) error {
	_, err := io.Copy(io.Discard, c)
	return err
}

// An end without a request, as on an idle connection, is an ordinary one.
func TestEndWithoutRequest(t *testing.T) {
	t.Parallel()
	client, server := connect(t)
	require.NoError(t, server.CloseWrite())
	require.NoError(t, readAll(client))
}

// Guards against an end that counts as ordinary while a part of the request was never written.
func TestEndBeforeTheWholeRequestWasWritten(t *testing.T) {
	t.Parallel()
	for name, part := range map[string]string{"within the header": requestHeader[:8], "within the body": requestHeader + "bod"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := connect(t)
			client.Begin(4)
			_, err := io.WriteString(client, part)
			require.NoError(t, err)
			require.NoError(t, server.CloseWrite())
			var cut *upload.CutOffError
			err = readAll(client)
			require.ErrorAs(t, err, &cut)
			require.Equal(t, int64(len(part)), cut.Written)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against an ordinary end that is taken for an early one because the rest of the request is still being written.
func TestEndWhileTheRestOfTheRequestIsWritten(t *testing.T) {
	t.Parallel()
	client, server := connect(t)
	client.Begin(4)
	require.NoError(t, server.CloseWrite())
	go func() {
		_, _ = io.WriteString(client, requestHeader)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(client, "body")
	}()
	require.NoError(t, readAll(client))
}

// Guards against a request that counts as taken since the connection took an earlier one.
func TestNextRequestIsCountedAnew(t *testing.T) {
	t.Parallel()
	client, server := connect(t)
	client.Begin(0)
	_, err := io.WriteString(client, requestHeader)
	require.NoError(t, err)
	client.Begin(0)
	require.NoError(t, server.CloseWrite())
	var cut *upload.CutOffError
	require.ErrorAs(t, readAll(client), &cut)
}

// Guards against a reset that only the writer of the request learns of.
func TestResetThatTheWriterHasFound(t *testing.T) {
	t.Parallel()
	client, server := connect(t)
	client.Begin(1 << 20)
	require.NoError(t, server.SetLinger(0))
	require.NoError(t, server.Close())
	var err error
	for err == nil {
		_, err = client.Write(make([]byte, 1<<10))
	}
	var cut *upload.CutOffError
	err = readAll(client)
	require.ErrorAs(t, err, &cut)
	require.True(t, cut.Cause != nil && (cut.Cause.Error() != ""), "%v", cut)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
