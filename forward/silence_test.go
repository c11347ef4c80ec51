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

// exhaustedRetries is a policy whose budget is used up.
type exhaustedRetries struct{}

func (exhaustedRetries) RecordFirstAttempt(time.Time) {}

func (exhaustedRetries) Allow(time.Time, retry.Attempt) bool { return false }

// streamWithPauses sends two events, each after a pause.
func streamWithPauses(first, second time.Duration) http.HandlerFunc {
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
	// overlongFirstWait and overlongPause exceed the silence limits of the fixture's stream route,
	// before the first event and between two events.
	overlongFirstWait = 2500 * time.Millisecond
	overlongPause     = 1100 * time.Millisecond
)

// Guards against an answer broken off for silence though no other upstream can take the request.
func TestSilentUpstreamIsKeptWithoutAnother(t *testing.T) {
	t.Parallel()
	late := map[string]http.HandlerFunc{
		"before the first event": streamWithPauses(overlongFirstWait, 0),
		"between events":         streamWithPauses(0, overlongPause),
	}
	for name, fn := range late {
		t.Run(name+", no retries left", func(t *testing.T) {
			t.Parallel()
			f := start(t, fn, fn)
			f.state.retries = exhaustedRetries{}
			requireCompleteFromOneUpstream(t, f)
		})
		t.Run(name+", no other upstream", func(t *testing.T) {
			t.Parallel()
			requireCompleteFromOneUpstream(t, start(t, fn))
		})
	}
}

func requireCompleteFromOneUpstream(t *testing.T, f *fixture) {
	t.Helper()
	status, body, _, err := f.post(t, "/stream/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, expectedEvents(2), body)
	require.Equal(t, 1, f.count())
}

// Guards against a stream broken off though an event arrived while another upstream was looked for.
func TestEventEndsTheSearchForAnotherUpstream(t *testing.T) {
	t.Parallel()
	fn := streamWithPauses(0, overlongPause)
	f := start(t, fn, fn)
	var returned atomic.Int32
	turns := 0
	f.state.turn = func(ctx context.Context, d turn.Request) (home.Ticket, error) {
		turns++
		if turns == 1 {
			return home.AwaitLocal(ctx, f.state.pool, d)
		}
		time.Sleep(overlongPause) // an event arrives meanwhile
		ticket, err := home.AwaitLocal(context.WithoutCancel(ctx), f.state.pool, d)
		return countingTicket{ticket, &returned}, err
	}
	requireCompleteFromOneUpstream(t, f)
	require.Eventually(t, func() bool { return returned.Load() == 1 }, 5*time.Second, time.Millisecond)
}

// countingTicket counts the turns that are given back unused.
type countingTicket struct {
	home.Ticket
	returned *atomic.Int32
}

func (r countingTicket) End(now time.Time, outcome turn.Outcome) {
	if outcome == turn.Unsent {
		r.returned.Add(1)
	}
	r.Ticket.End(now, outcome)
}

// Guards against a stream that stays at a silent upstream though another one could take it.
func TestStreamLeavesAnUpstreamThatIsSilentBetweenEvents(t *testing.T) {
	t.Parallel()
	var requests atomic.Int32
	fn := func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			streamWithPauses(0, time.Minute)(w, r)
			return
		}
		events(1, 2, true)(w, r)
	}
	f := start(t, fn, fn)
	var log bytes.Buffer
	f.handler.Log = slog.New(slog.NewTextHandler(&log, nil))
	status, body, _, err := f.post(t, "/stream/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, expectedEvents(2), body)
	require.Equal(t, "1", f.requests[1].Header.Get("Last-Event-Id"))
	f.router.Close() // waits for the last log line
	require.Contains(t, log.String(), "the upstream was silent for too long")
}

// Guards against a stream that is moved to another upstream because its caller reads slowly.
func TestSlowCallerIsNotTakenForASilentUpstream(t *testing.T) {
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
	time.Sleep(overlongPause)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, count, strings.Count(string(body), "id: "))
	require.Equal(t, 1, f.count())
}
