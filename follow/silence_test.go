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
	// settleBound is how long after the end of an outage what was written until
	// then has to be known, applyBound how long after it was written what is
	// written later. Both are the strictest that users ask for.
	settleBound = 3 * time.Second
	applyBound  = 2 * time.Second
)

// silentStore is a feed of a table that a store keeps which falls silent for a
// while: a call that waits then, or comes then, is never answered.
type silentStore struct {
	from, to time.Time
	written  []time.Time
	// answerTime is what an answer takes.
	answerTime time.Duration
}

// isLost reports whether a call that was made at begin and would be answered at
// end meets the silence.
func (s *silentStore) isLost(begin, end time.Time) bool {
	return begin.Before(s.to) && end.After(s.from)
}

// answer ends a call at a time, with the rows up to then.
func (s *silentStore) answer(ctx context.Context, begin, end time.Time, after int) ([]int, int, error) {
	if s.isLost(begin, end) {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	select {
	case <-time.After(time.Until(end)):
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
	var rows []int
	as := 0
	for i, at := range s.written {
		if !at.After(end) {
			as = i + 1
		}
		if i >= after && !at.After(end) {
			rows = append(rows, i)
		}
	}
	return rows, max(as, after), nil
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

// arrivals records when each row was heard first.
type arrivals struct{ at map[int]time.Time }

func (a *arrivals) Apply(rows []int, _ int) {
	for _, row := range rows {
		if _, ok := a.at[row]; !ok {
			a.at[row] = time.Now()
		}
	}
}
func (a *arrivals) Replace(rows []int, as int) { a.Apply(rows, as) }
func (a *arrivals) Lost(error)                 {}
func (a *arrivals) Regained()                  {}

// Callers got answers of a route by a configuration that had been replaced more
// than two seconds before, at all routers of a data centre. The store had answered
// nobody for six seconds, while its connections stayed open, and had been back
// for four when the routers heard of the new configurations. A call that began in the
// outage was never answered, and since it was to wait four seconds for a change, it was given
// up only after five. The routers' logs proved it: the call after `dependency lost` was
// the last one for 5.2 s, while the store answered the next call about another table.
func TestNewsAfterASilenceIsHeardInTime(t *testing.T) {
	t.Parallel()
	for _, silence := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6200 * time.Millisecond, 11 * time.Second} {
		for _, answerTime := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprintf("silence %v, answers in %v", silence, answerTime), func(t *testing.T) {
				t.Parallel()
				for begin := 500 * time.Millisecond; begin < 7*time.Second; begin += 130 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) { hearsInTime(t, begin, silence, answerTime) })
				}
			})
		}
	}
}

// hearsInTime plays one silence, with rows written during it and after it.
func hearsInTime(t *testing.T, begin, silence, answerTime time.Duration) {
	t.Helper()
	start := time.Now()
	s := &silentStore{from: start.Add(begin), to: start.Add(begin + silence), answerTime: answerTime}
	s.written = []time.Time{
		start.Add(-time.Second), s.from.Add(silence / 2), s.to.Add(300 * time.Millisecond), s.to.Add(900 * time.Millisecond),
		s.to.Add(4 * time.Second),
	}
	heard := &arrivals{at: make(map[int]time.Time)}
	f := follow.Follower[int, int]{Name: "test", Feed: s, Sink: heard, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithDeadline(t.Context(), s.to.Add(15*time.Second))
	defer cancel()
	require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
	for row, at := range s.written[1:] {
		due := at.Add(applyBound)
		if due.Before(s.to.Add(settleBound)) {
			due = s.to.Add(settleBound)
		}
		require.Contains(t, heard.at, row+1)
		require.False(t, heard.at[row+1].After(due), "silent from %v: row %d, written %v after the end, was heard %v after the end",
			begin, row+1, at.Sub(s.to), heard.at[row+1].Sub(s.to))
	}
}
