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

// answer is what a scripted feed says to one call.
type answer struct {
	rows  []string
	as    int
	err   error
	hangs bool
}

// script answers the calls of a Follower one after the other, and hangs at its end.
type script struct {
	answers []answer
	calls   []string
	times   []time.Time
}

func (s *script) next(ctx context.Context, call string) ([]string, int, error) {
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
	return a.rows, a.as, a.err
}

func (s *script) Read(ctx context.Context) ([]string, int, error) { return s.next(ctx, "read") }

func (s *script) Watch(ctx context.Context, _ int, _ time.Duration) ([]string, int, error) {
	return s.next(ctx, "watch")
}

// heard records what a Follower says.
type heard struct{ said []string }

func (h *heard) Replace(rows []string, _ int) {
	h.said = append(h.said, append([]string{"whole"}, rows...)...)
}
func (h *heard) Apply(rows []string, _ int) { h.said = append(h.said, rows...) }
func (h *heard) Lost(error)                 { h.said = append(h.said, "lost") }
func (h *heard) Regained()                  { h.said = append(h.said, "regained") }

func follows(t *testing.T, s *script, last time.Duration) *heard {
	t.Helper()
	h := &heard{}
	f := follow.Follower[string, int]{Name: "test", Feed: s, Sink: h, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithTimeout(t.Context(), last)
	defer cancel()
	require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
	return h
}

// The store drops its history while a router waits for changes. What was
// changed in the gap would be missed for good, so the table is read whole.
func TestDroppedHistoryIsReadWhole(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{
			{rows: []string{"a"}, as: 1},
			{err: &follow.HistoryLostError{Table: "test"}},
			{rows: []string{"b"}, as: 9},
			{rows: []string{"c"}, as: 10},
		}}
		h := follows(t, s, time.Second)
		require.Equal(t, []string{"whole", "a", "whole", "b", "c"}, h.said)
	})
}

// The store is away for seconds. It is not asked without a pause, since refused
// calls take its strength when it comes back, and its return is noticed soon.
func TestOutageIsAskedAboutGentlyAndItsEndNoticed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		down := answer{err: errors.New("down")}
		s := &script{answers: []answer{{as: 1}, down, down, down, down, down, down, down, down, {rows: []string{"x"}, as: 2}}}
		h := follows(t, s, time.Minute)
		require.Equal(t, []string{"whole", "lost", "regained", "x"}, h.said[:4])
		outage := s.times[9].Sub(s.times[1])
		require.Greater(t, outage, time.Second)
		for i := 1; i < 10; i++ {
			require.Less(t, s.times[i].Sub(s.times[i-1]), 1300*time.Millisecond)
		}
	})
}

// A connection goes silent without a reset, and the wait never ends by itself.
// It is given up and asked again, so that a new connection brings the news.
func TestSilentWaitIsGivenUp(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &script{answers: []answer{{as: 1}, {hangs: true}, {rows: []string{"late"}, as: 2}}}
		h := follows(t, s, 8*time.Second)
		require.Equal(t, []string{"whole", "lost", "regained", "late"}, h.said[:4])
	})
}
