package daemon_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/daemon"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

// part is an extension with one actor.
type part func(ctx context.Context) error

func (part) Priority() daemon.Priority { return daemon.PriorityCalls }

func (p part) Extend(parts *daemon.Parts) error {
	parts.Actor("test", p)
	return nil
}

// A part of a router ends by itself, because of a fault in the program. The
// router would go on to take requests that nobody serves, so it ends as well,
// and tells why; whoever started it would take an end without an error for a
// stop that was asked for.
func TestPartThatEndsByItselfEndsTheRouterWithAnError(t *testing.T) {
	t.Parallel()
	broken := errors.New("broken")
	for _, cause := range []error{broken, nil} {
		d := newDaemon(t, 10*time.Minute, part(func(context.Context) error { return cause }))
		err := d.Run(t.Context())
		var ended *daemon.EndedError
		require.ErrorAs(t, err, &ended)
		require.Equal(t, "test", ended.Part)
		require.Equal(t, cause, ended.Cause)
	}
}

func TestStopThatIsAskedForIsNoError(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	d := newDaemon(t, time.Millisecond, part(func(ctx context.Context) error {
		cancel()
		<-ctx.Done()
		return errors.New("ended because it was told to")
	}))
	require.NoError(t, d.Run(ctx))
}

func newDaemon(t *testing.T, stopNotice time.Duration, extensions ...daemon.Extension) *daemon.Daemon {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	d, err := daemon.New(t.Context(), daemon.Options{
		Settings: &schema.RouterSettings{
			Id: "router-1", DataCenter: "kuopio", FleetKey: "a key that routers share",
			CallerAddress: anyPort, PeerAddress: anyPort, AdminAddress: anyPort,
			StopNoticeMs: uint32(stopNotice.Milliseconds()),
		},
		Platform: memory.New(timer.System{}), Extensions: extensions,
	})
	require.NoError(t, err)
	return d
}
