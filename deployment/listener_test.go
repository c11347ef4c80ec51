package deployment_test

import (
	"context"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/overload"
)

const (
	// oneProcessor is set in the process of a test that runs with a single processor.
	oneProcessor = "NUTMEGLOCK_TEST_ONE_PROCESSOR"
	// waitingConnections wait to be accepted when the test begins.
	waitingConnections = 100
	// stepsInHand is how often a request in hand needs the processor until it is answered.
	stepsInHand = 10
)

// Guards against a flood of new connections that delays requests in hand.
func TestRequestsInHandGoBeforeNewConnections(t *testing.T) {
	t.Parallel()
	if os.Getenv(oneProcessor) != "" {
		t.Log("accepted", acceptedBeforeAnswer(t))
		return
	}
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^"+t.Name()+"$", "-test.v")
	command.Env = append(os.Environ(), oneProcessor+"=1", "GOMAXPROCS=1")
	out, err := command.CombinedOutput()
	require.NoError(t, err, string(out))
	_, text, found := strings.Cut(string(out), "accepted ")
	require.True(t, found, string(out))
	accepted, err := strconv.Atoi(strings.Fields(text)[0])
	require.NoError(t, err)
	require.LessOrEqual(t, accepted, 2*stepsInHand)
}

// acceptedBeforeAnswer returns how many connections were accepted until a request was answered.
func acceptedBeforeAnswer(t *testing.T) int {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	for range waitingConnections {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	listener, err := deployment.NewListener(inner, &overload.Standing{})
	require.NoError(t, err)
	ctx, answered := context.WithCancel(t.Context())
	go func() {
		for range stepsInHand {
			runtime.Gosched()
		}
		answered()
	}()
	accepted := 0
	for ; ctx.Err() == nil && accepted < waitingConnections; accepted++ {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
	}
	return accepted
}

// Guards against a router that doesn't know that callers wait for it to accept them.
func TestListenerTellsWhetherItsQueueStands(t *testing.T) {
	t.Parallel()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var queue overload.Standing
	listener, err := deployment.NewListener(inner, &queue)
	require.NoError(t, err)
	for range 3 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	for range 3 {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
		require.Positive(t, queue.For(time.Now().Add(time.Second)))
	}
	go func() { _, _ = listener.Accept() }()
	empty := func() bool { return queue.For(time.Now().Add(time.Second)) == 0 }
	require.Eventually(t, empty, 5*time.Second, time.Millisecond)
	require.NoError(t, inner.Close())
}
