package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/turn"
)

// statedAvoidance is a forward.Avoidance that records what it is told.
type statedAvoidance struct {
	set avoidance.Set[turn.Instance]

	mu      sync.Mutex
	leaving []fleet.UpstreamID
	backoff []time.Duration
}

func (a *statedAvoidance) RecordLeaving(now time.Time, u registry.Upstream, _ fleet.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = append(a.leaving, u.ID)
	a.set.RecordLeaving(now, turn.InstanceOf(u))
}

func (a *statedAvoidance) RecordBackoff(now time.Time, u registry.Upstream, backoff time.Duration, _ fleet.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backoff = append(a.backoff, backoff)
	a.set.RecordBackoff(now, turn.InstanceOf(u), backoff)
}

func (a *statedAvoidance) Avoided(now time.Time, u registry.Upstream) (avoidance.Term, bool) {
	return a.set.Find(now, turn.InstanceOf(u))
}

// stating answers with a header field more.
func stating(field, value string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(field, value)
		answer(w, r)
	}
}

// Guards against a statement that is only read in some answers, and against one that isn't the upstream's own.
func TestStatementsAreTakenFromEachAnswer(t *testing.T) {
	t.Parallel()
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	for _, c := range []struct {
		name             string
		path             string
		answer           http.HandlerFunc
		leaving, backoff int
	}{
		{"plain answer", "/read/1", stating("X-Leaving", "1", answersOK), 1, 0},
		{"stream", "/stream/1", stating("X-Leaving", "1", answersOK), 1, 0},
		{"error", "/order/1", stating("X-Leaving", "1", answersError), 1, 0},
		{"refusal", "/order/1", stating("X-Leaving", "1", answersNotRun), 1, 0},
		{"success without a signature", "/order/1", stating("X-Leaving", "1", unsigned), 0, 0},
		{"backoff", "/order/1", stating("X-Backoff", "2s", answersNotRun), 0, 1},
		{"refusal without a backoff", "/order/1", answersNotRun, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, stating("X-Slowdown", "250", c.answer))
			stated := &statedAvoidance{}
			f.handler.Avoidance = stated
			_, _, _, _ = f.post(t, c.path)
			stated.mu.Lock()
			defer stated.mu.Unlock()
			require.Len(t, stated.leaving, c.leaving)
			require.Len(t, stated.backoff, c.backoff)
			require.Equal(t, []pace.Slowdown{2.5}, f.state.pool.Slowdowns(time.Now()))
		})
	}
}

// Guards against a request that is sent although the upstream has asked for a backoff since the turn was granted, and against one
// that is lost thereby, said to have run, or charged to the budget of retries.
func TestTurnAtAnUpstreamThatWantsNoneIsReturned(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK, answersOK)
	stated := &statedAvoidance{}
	f.handler.Avoidance = stated
	pool := f.state.pool
	var avoided fleet.UpstreamID
	f.state.turn = func(ctx context.Context, r turn.Request) (home.Ticket, error) {
		r.Avoid = &stated.set
		ticket, err := home.AwaitLocal(ctx, pool, r)
		if err == nil && avoided == "" {
			avoided = ticket.Upstream().ID
			stated.RecordBackoff(time.Now(), ticket.Upstream(), time.Minute, "")
		}
		return ticket, err
	}
	f.state.retries = noRetries{}
	status, body, _, err := f.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "served", body)
	require.Equal(t, 1, f.count())
	require.NotEqual(t, string(avoided), f.requests[0].Header.Get("X-Upstream"))
}

// Guards against a request that goes round for ever where turns are granted at an upstream that wants none.
func TestReturnedTurnsAreBounded(t *testing.T) {
	t.Parallel()
	f := start(t, answersOK)
	stated := &statedAvoidance{}
	f.handler.Avoidance = stated
	turns := 0
	f.state.turn = func(ctx context.Context, r turn.Request) (home.Ticket, error) {
		turns++
		ticket, err := home.AwaitLocal(ctx, f.state.pool, r)
		if err == nil {
			stated.RecordBackoff(time.Now(), ticket.Upstream(), time.Minute, "")
		}
		return ticket, err
	}
	status, _, header, err := f.post(t, "/order/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Less(t, turns, 10)
	require.Zero(t, f.count())
}

// Guards against a refusal that comes late: upstreams whose backoffs end one after the other refuse a request again, or want none
// any more once it has its turn, and it waits its whole patience anew for each.
func TestRequestThatUpstreamsTurnAwayInTurnWaitsOnePatience(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// again is set if upstreams ask for a backoff again before the request is sent, so that none is sent.
		again bool
		sent  int
	}{{"refused", false, 1}, {"turns are returned", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const apart = 200 * time.Millisecond
			refuses := stating("X-Backoff", "1m", answersNotRun)
			f := start(t, refuses, refuses, refuses, refuses)
			stated := &statedAvoidance{}
			f.handler.Avoidance = stated
			began := time.Now()
			for i := range f.addresses {
				stated.RecordBackoff(began, registry.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i))}, time.Duration(i+1)*apart, "")
			}
			go wakeOften(t.Context(), f.state.pool)
			f.state.turn = func(ctx context.Context, r turn.Request) (home.Ticket, error) {
				r.Avoid = &stated.set
				ticket, err := home.AwaitLocal(ctx, f.state.pool, r)
				if err == nil && c.again {
					stated.RecordBackoff(time.Now(), ticket.Upstream(), time.Minute, "")
				}
				return ticket, err
			}
			status, _, header, err := f.post(t, "/stream/1")
			require.NoError(t, err)
			require.Less(t, time.Since(began), 500*time.Millisecond)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.NotEmpty(t, header.Get("Retry-After"))
			require.Equal(t, c.sent, f.count(), "the first backoff ends within the patience, the second doesn't")
		})
	}
}

// wakeOften starts the waiting requests of a pool that have room.
func wakeOften(ctx context.Context, pool *turn.Pool) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		pool.Wake(time.Now())
	}
}

// noRetries is a retry.Policy that allows none.
type noRetries struct{}

func (noRetries) RecordFirstAttempt(time.Time)        {}
func (noRetries) Allow(time.Time, retry.Attempt) bool { return false }
