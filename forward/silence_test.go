package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/turn"
)

// noRetries is a policy whose budget is used up.
type noRetries struct{}

func (noRetries) First(time.Time) {}

func (noRetries) Allow(time.Time, retry.Attempt) bool { return false }

// pausing writes two events, the first after a pause, the second after another one.
func pausing(first, second time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		for id, pause := range []time.Duration{first, second} {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id+1, id+1)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

const (
	// lateFirst is longer than a stream's upstream may be silent before its first event,
	// and latePause than between two events, on the fixture's routes.
	lateFirst = 2500 * time.Millisecond
	latePause = 1100 * time.Millisecond
)

// Guards against an answer broken off for silence though no other upstream takes the request.
func TestSilentUpstreamIsKeptWithoutAnother(t *testing.T) {
	t.Parallel()
	late := map[string]http.HandlerFunc{
		"before the first event": pausing(lateFirst, 0),
		"between events":         pausing(0, latePause),
	}
	for name, fn := range late {
		t.Run(name+", no retries left", func(t *testing.T) {
			t.Parallel()
			f := start(t, fn, fn)
			f.state.retries = noRetries{}
			requireWholeFromOne(t, f)
		})
		t.Run(name+", no other upstream", func(t *testing.T) {
			t.Parallel()
			requireWholeFromOne(t, start(t, fn))
		})
	}
}

func requireWholeFromOne(t *testing.T, f *fixture) {
	t.Helper()
	status, body, _, err := f.ask(t, "/stream/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, expect(2), body)
	require.Equal(t, 1, f.count())
}

// Guards against a stream broken off by an event that arrives during the search for an upstream.
func TestEventEndsTheSearchForAnotherUpstream(t *testing.T) {
	t.Parallel()
	fn := pausing(0, latePause)
	f := start(t, fn, fn)
	var returned atomic.Int32
	asks := 0
	f.state.turn = func(ctx context.Context, d turn.Demand) (home.Ticket, error) {
		asks++
		if asks == 1 {
			return home.Await(ctx, f.state.pool, d)
		}
		time.Sleep(latePause) // the event comes meanwhile
		ticket, err := home.Await(context.WithoutCancel(ctx), f.state.pool, d)
		return returnedTicket{ticket, &returned}, err
	}
	requireWholeFromOne(t, f)
	require.Eventually(t, func() bool { return returned.Load() == 1 }, 5*time.Second, time.Millisecond)
}

// returnedTicket counts that its turn was given back unused.
type returnedTicket struct {
	home.Ticket
	returned *atomic.Int32
}

func (r returnedTicket) End(now time.Time, outcome turn.Outcome) {
	if outcome == turn.Unsent {
		r.returned.Add(1)
	}
	r.Ticket.End(now, outcome)
}

// Guards against a stream that stays at a silent upstream though another one takes it.
func TestStreamLeavesAnUpstreamThatIsSilentBetweenEvents(t *testing.T) {
	t.Parallel()
	var requests atomic.Int32
	fn := func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			pausing(0, time.Minute)(w, r)
			return
		}
		events(1, 2, true)(w, r)
	}
	f := start(t, fn, fn)
	var log bytes.Buffer
	f.handler.Log = slog.New(slog.NewTextHandler(&log, nil))
	status, body, _, err := f.ask(t, "/stream/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, expect(2), body)
	require.Equal(t, "1", f.reached[1].Header.Get("Last-Event-Id"))
	f.front.Close() // no request logs any more
	require.Contains(t, log.String(), "the upstream was silent for too long")
}

// Guards against a stream that is taken from its upstream because its caller reads slowly.
func TestSlowCallerIsNoSilence(t *testing.T) {
	t.Parallel()
	const count = 100
	filler := strings.Repeat("x", 200<<10)
	fn := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		for id := 1; id <= count; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, filler)
		}
	}
	f := start(t, fn, fn)
	answer, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/stream/1", "body"))
	require.NoError(t, err)
	defer answer.Body.Close()
	time.Sleep(latePause)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, count, strings.Count(string(body), "id: "))
	require.Equal(t, 1, f.count())
}
