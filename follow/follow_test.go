package follow_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/follow"
)

// answer is the result of one call to a scriptedFeed.
type answer struct {
	rows     []string
	revision int
	err      error
	hangs    bool
}

// scriptedFeed returns its answers in order, and blocks once there are none left.
type scriptedFeed struct {
	answers []answer
	calls   []string
	times   []time.Time
	// after are the revisions after which changes were asked for.
	after []int
}

func (s *scriptedFeed) next(ctx context.Context, call string) ([]string, int, error) {
	s.calls = append(s.calls, call)
	s.times = append(s.times, time.Now())
	if len(s.answers) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	if a.hangs {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return a.rows, a.revision, a.err
}

func (s *scriptedFeed) Read(ctx context.Context) ([]string, int, error) { return s.next(ctx, "read") }

func (s *scriptedFeed) Watch(ctx context.Context, after int, _ time.Duration) ([]string, int, error) {
	s.after = append(s.after, after)
	return s.next(ctx, "watch")
}

// recordingSink records the calls of a Follower.
type recordingSink struct{ events []string }

func (r *recordingSink) Replace(rows []string, _ int) {
	r.events = append(r.events, append([]string{"whole"}, rows...)...)
}
func (r *recordingSink) Apply(rows []string, _ int) { r.events = append(r.events, rows...) }
func (r *recordingSink) SetUnavailable(error)       { r.events = append(r.events, "lost") }
func (r *recordingSink) SetAvailable()              { r.events = append(r.events, "regained") }

func runFollower(t *testing.T, s *scriptedFeed, duration time.Duration) *recordingSink {
	t.Helper()
	sink := &recordingSink{}
	f := follow.Follower[string, int]{Name: "test", Feed: s, Sink: sink, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
	return sink
}

// The store drops its history while a router waits for changes. The changes in the
// gap would be missed for good, so the whole table is read again.
func TestDroppedHistoryIsReadWhole(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedFeed{answers: []answer{
			{rows: []string{"a"}, revision: 1},
			{err: &follow.HistoryLostError{Table: "test"}},
			{rows: []string{"b"}, revision: 9},
			{rows: []string{"c"}, revision: 10},
		}}
		sink := runFollower(t, s, time.Second)
		require.Equal(t, []string{"whole", "a", "whole", "b", "c"}, sink.events)
	})
}

// The store is unavailable for seconds. Calls are spaced, because refused calls load
// the store as it recovers, and its return is still noticed soon.
func TestCallsInAnOutageAreSpacedAndItsEndNoticed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		down := answer{err: errors.New("down")}
		s := &scriptedFeed{answers: []answer{{revision: 1}, down, down, down, down, down, down, down, down, {rows: []string{"x"}, revision: 2}}}
		sink := runFollower(t, s, time.Minute)
		require.Equal(t, []string{"whole", "lost", "regained", "x"}, sink.events[:4])
		outage := s.times[9].Sub(s.times[1])
		require.Greater(t, outage, time.Second)
		for i := 1; i < 10; i++ {
			require.Less(t, s.times[i].Sub(s.times[i-1]), 1300*time.Millisecond)
		}
	})
}

// A connection stops responding without a reset, so a call for changes never ends by
// itself. It times out and is repeated, so that a new connection delivers the changes.
func TestHungWatchTimesOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedFeed{answers: []answer{{revision: 1}, {hangs: true}, {rows: []string{"late"}, revision: 2}}}
		sink := runFollower(t, s, 8*time.Second)
		require.Equal(t, []string{"whole", "lost", "regained", "late"}, sink.events[:4])
	})
}

// runPolling runs a follower that polls each 30 s.
func runPolling(t *testing.T, s *scriptedFeed, f follow.Follower[string, int], duration time.Duration) {
	t.Helper()
	f.Feed, f.Sink, f.Log = s, &recordingSink{}, slog.New(slog.DiscardHandler)
	f.PollInterval = func() time.Duration { return 30 * time.Second }
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
}

// The load of a large fleet whose routers poll more seldom than the store drops its history. Guards against
// a call in vain before each read of the whole table.
func TestTableIsReadAtOnceAfterItsHistoryIsOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedFeed{answers: []answer{{revision: 1}, {revision: 2}, {revision: 3}}}
		runPolling(t, s, follow.Follower[string, int]{History: 10 * time.Second}, 100*time.Second)
		require.Equal(t, []string{"read", "read", "read"}, s.calls[:3])
	})
}

// The same, where other routers have passed the changes on: only newer ones are asked for.
func TestChangesKnownFromOthersAreNotAskedFor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedFeed{answers: []answer{{revision: 1}, {revision: 8}}}
		runPolling(t, s, follow.Follower[string, int]{History: 10 * time.Second, Known: func(revision int) int { return max(revision, 7) }}, 100*time.Second)
		require.Equal(t, []string{"read", "watch"}, s.calls[:2])
		require.Equal(t, 7, s.after[0])
	})
}

// The load of a release: the table changes many times a second. Guards against a call to the store for each
// change.
func TestChangesInQuickSuccessionAreGathered(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedFeed{answers: []answer{{revision: 1}}}
		for i := range 200 {
			s.answers = append(s.answers, answer{rows: []string{"x"}, revision: i + 2})
		}
		f := follow.Follower[string, int]{Name: "test", Feed: s, Sink: &recordingSink{}, Log: slog.New(slog.DiscardHandler), Gather: 200 * time.Millisecond}
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
		require.LessOrEqual(t, len(s.calls), 30, "calls in four seconds")
		require.GreaterOrEqual(t, len(s.calls), 15, "news are not held back")
	})
}
