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

// actorExtension adds one actor.
type actorExtension func(ctx context.Context) error

func (actorExtension) Priority() daemon.Priority { return daemon.PriorityCalls }

func (a actorExtension) Extend(parts *daemon.Parts) error {
	parts.AddActor("test", a)
	return nil
}

// A bug makes one part of a router end. The router must end as well, or it would
// accept requests that it can't serve. It must return an error, even if the part
// returned none, because nil means a requested stop.
func TestPartThatEndsByItselfEndsTheRouterWithAnError(t *testing.T) {
	t.Parallel()
	broken := errors.New("broken")
	for _, cause := range []error{broken, nil} {
		d := newDaemon(t, 10*time.Minute, actorExtension(func(context.Context) error { return cause }))
		err := d.Run(t.Context())
		var ended *daemon.PartEndedError
		require.ErrorAs(t, err, &ended)
		require.Equal(t, "test", ended.Part)
		require.Equal(t, cause, ended.Cause)
	}
}

func TestRequestedStopReturnsNoError(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	d := newDaemon(t, time.Millisecond, actorExtension(func(ctx context.Context) error {
		cancel()
		<-ctx.Done()
		return errors.New("ended because its context ended")
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
