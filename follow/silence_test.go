package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/follow"
)

const (
	// recoveryBound is how long after the end of an outage the rows written until then
	// may arrive, and propagationBound how long after its write a later row may. Both
	// are the strictest that users require.
	recoveryBound    = 3 * time.Second
	propagationBound = 2 * time.Second
)

// silentStore is a feed of a store that stops responding between from and to: calls
// that are pending or made then are never answered.
type silentStore struct {
	from, to time.Time
	// written has the time at which each row is written.
	written []time.Time
	// answerTime is the latency of an answer.
	answerTime time.Duration
}

// overlapsSilence reports whether a call that was made at begin and would be answered at
// end is lost.
func (s *silentStore) overlapsSilence(begin, end time.Time) bool {
	return begin.Before(s.to) && end.After(s.from)
}

// answer blocks until end and returns the rows after a revision that were written by
// then. A call that overlaps the silence blocks until its context ends.
func (s *silentStore) answer(ctx context.Context, begin, end time.Time, after int) ([]int, int, error) {
	if s.overlapsSilence(begin, end) {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	select {
	case <-time.After(time.Until(end)):
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
	var rows []int
	revision := 0
	for i, at := range s.written {
		if !at.After(end) {
			revision = i + 1
		}
		if i >= after && !at.After(end) {
			rows = append(rows, i)
		}
	}
	return rows, max(revision, after), nil
}

func (s *silentStore) Read(ctx context.Context) ([]int, int, error) {
	now := time.Now()
	return s.answer(ctx, now, now.Add(s.answerTime), 0)
}

func (s *silentStore) Watch(ctx context.Context, after int, wait time.Duration) ([]int, int, error) {
	begin := time.Now()
	end := begin.Add(wait)
	if after < len(s.written) && s.written[after].Before(end) {
		end = s.written[after]
	}
	if end.Before(begin) {
		end = begin
	}
	return s.answer(ctx, begin, end.Add(s.answerTime), after)
}

// arrivals records when each row arrived first.
type arrivals struct{ at map[int]time.Time }

func (a *arrivals) Apply(rows []int, _ int) {
	for _, row := range rows {
		if _, ok := a.at[row]; !ok {
			a.at[row] = time.Now()
		}
	}
}
func (a *arrivals) Replace(rows []int, revision int) { a.Apply(rows, revision) }
func (a *arrivals) SetUnavailable(error)             {}
func (a *arrivals) SetAvailable()                    {}

// Guards against a call that began in an outage of the store and times out long after it.
// All routers of a data centre used a configuration more than two seconds after it was
// replaced: the store did not respond for six seconds, with its connections open, and the
// routers received the new configurations only four seconds after it responded again. A
// call that was to wait four seconds for a change timed out after five. The routers' logs
// show no call for 5.2 s after the first one that followed `dependency lost`, while the
// store answered the next call for another table.
func TestChangesAfterASilenceArriveInTime(t *testing.T) {
	t.Parallel()
	for _, silence := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6200 * time.Millisecond, 11 * time.Second} {
		for _, answerTime := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprintf("silence %v, answers in %v", silence, answerTime), func(t *testing.T) {
				t.Parallel()
				for begin := 500 * time.Millisecond; begin < 7*time.Second; begin += 130 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) { checkArrivalTimes(t, begin, silence, answerTime) })
				}
			})
		}
	}
}

// checkArrivalTimes simulates one silence, with rows written before, during and after it.
func checkArrivalTimes(t *testing.T, begin, silence, answerTime time.Duration) {
	t.Helper()
	start := time.Now()
	s := &silentStore{from: start.Add(begin), to: start.Add(begin + silence), answerTime: answerTime}
	s.written = []time.Time{
		start.Add(-time.Second), s.from.Add(silence / 2), s.to.Add(300 * time.Millisecond), s.to.Add(900 * time.Millisecond),
		s.to.Add(4 * time.Second),
	}
	arrived := &arrivals{at: make(map[int]time.Time)}
	f := follow.Follower[int, int]{Name: "test", Feed: s, Sink: arrived, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithDeadline(t.Context(), s.to.Add(15*time.Second))
	defer cancel()
	require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
	for row, at := range s.written[1:] {
		due := at.Add(propagationBound)
		if due.Before(s.to.Add(recoveryBound)) {
			due = s.to.Add(recoveryBound)
		}
		require.Contains(t, arrived.at, row+1)
		require.False(t, arrived.at[row+1].After(due), "silent from %v: row %d, written %v after the end, arrived %v after the end",
			begin, row+1, at.Sub(s.to), arrived.at[row+1].Sub(s.to))
	}
}
