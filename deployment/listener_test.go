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
	// singleProcessorEnv is the environment variable that marks the subprocess that runs with a
	// single processor.
	singleProcessorEnv = "NUTMEGLOCK_TEST_ONE_PROCESSOR"
	// pendingConnections is the number of connections that wait to be accepted at the start.
	pendingConnections = 100
	// stepsPerRequest is how often a request in flight has to be scheduled until it is answered.
	stepsPerRequest = 10
)

// Guards against a flood of new connections that delays the requests in flight.
func TestRequestsInFlightGoBeforeNewConnections(t *testing.T) {
	t.Parallel()
	if os.Getenv(singleProcessorEnv) != "" {
		t.Log("accepted", acceptedBeforeAnswer(t))
		return
	}
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^"+t.Name()+"$", "-test.v")
	command.Env = append(os.Environ(), singleProcessorEnv+"=1", "GOMAXPROCS=1")
	out, err := command.CombinedOutput()
	require.NoError(t, err, string(out))
	_, text, found := strings.Cut(string(out), "accepted ")
	require.True(t, found, string(out))
	accepted, err := strconv.Atoi(strings.Fields(text)[0])
	require.NoError(t, err)
	require.LessOrEqual(t, accepted, 2*stepsPerRequest)
}

// acceptedBeforeAnswer returns the number of connections accepted until a request was answered.
func acceptedBeforeAnswer(t *testing.T) int {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	for range pendingConnections {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	listener, err := deployment.NewYieldingListener(inner, &overload.StandingQueue{}, neverFull)
	require.NoError(t, err)
	ctx, answered := context.WithCancel(t.Context())
	go func() {
		for range stepsPerRequest {
			runtime.Gosched()
		}
		answered()
	}()
	accepted := 0
	for ; ctx.Err() == nil && accepted < pendingConnections; accepted++ {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
	}
	return accepted
}

// Guards against a router that doesn't notice that connections wait to be accepted.
func TestListenerReportsWhetherItsQueueIsEmpty(t *testing.T) {
	t.Parallel()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var queue overload.StandingQueue
	listener, err := deployment.NewYieldingListener(inner, &queue, neverFull)
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
		require.Positive(t, queue.Duration(time.Now().Add(time.Second)))
	}
	go func() { _, _ = listener.Accept() }()
	empty := func() bool { return queue.Duration(time.Now().Add(time.Second)) == 0 }
	require.Eventually(t, empty, 5*time.Second, time.Millisecond)
	require.NoError(t, inner.Close())
}

// Guards against requests that are shed because connections wait that may not be opened, whatever the processor time.
func TestFullListenerIsNotShortOfTime(t *testing.T) {
	t.Parallel()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	var queue overload.StandingQueue
	listener, err := deployment.NewYieldingListener(inner, &queue, func() bool { return true })
	require.NoError(t, err)
	for range 3 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	require.Zero(t, queue.Duration(time.Now().Add(time.Second)))
}

func neverFull() bool { return false }
