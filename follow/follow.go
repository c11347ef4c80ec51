// Package follow keeps a router up to date with what others write to the
// platform's store: the configuration, and the list of upstreams.
//
// A Follower reads a table whole, and then waits for its changes. It answers
// the faults of such a feed: a store that is away for long (what is known
// holds, and the return is noticed within three seconds), a history that was dropped
// (the table is read whole again), and a store or a connection that has gone silent
// without a reset (each wait ends in time for news to be known when it has to be).
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

const (
	// firstPause is the pause after a first failure. A store that answers in
	// some ms was probably only busy.
	firstPause = 40 * time.Millisecond
	// maxPause bounds how late the return of the store is noticed. Refused
	// calls cost the platform as much as others, so it isn't shorter.
	maxPause = 800 * time.Millisecond
	// readTimeout bounds a whole read: some milliseconds in calm, and some
	// hundred when the store answers a hundred times slower.
	readTimeout = 1500 * time.Millisecond
	// answerSlack is what an answer may take beyond the wait that was asked for.
	answerSlack = 1200 * time.Millisecond
	// askAgain is the time from a call that is given up to an answer of the next one.
	askAgain = 400 * time.Millisecond
	// leastWait bounds what waits cost where answers are due so soon that they can't be.
	leastWait = 300 * time.Millisecond
	// DefaultRecovery is how soon after a disturbance of the store its news is known
	// unless a deployment says otherwise.
	DefaultRecovery = 3 * time.Second
)

// WaitFor returns how long one call may wait for a change so that news is known
// within a time after the store, or a connection to it, stopped answering for a moment.
//
// An answer that is lost is noticed only when the call is given up, and until then
// requests are handled by a configuration that was replaced. Longer waits cost fewer calls.
func WaitFor(recovery time.Duration) time.Duration {
	if recovery <= 0 {
		recovery = DefaultRecovery
	}
	return max(recovery-answerSlack-askAgain, leastWait)
}

// HistoryLostError is the error of a wait for changes that the store no longer has.
type HistoryLostError struct{ Table string }

// Error names the table.
func (e *HistoryLostError) Error() string { return "the history of " + e.Table + " was dropped" }

// Feed is one table of the platform's store, decoded.
type Feed[R any, V any] interface {
	// Read returns the whole table, and the revision that it is as of.
	Read(ctx context.Context) (rows []R, as V, err error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none once wait has passed, and the revision to go on from. It fails with
	// *HistoryLostError when they are no longer there.
	Watch(ctx context.Context, after V, wait time.Duration) (rows []R, as V, err error)
}

// Sink takes what a Follower hears. Its methods are called one after the other.
type Sink[R any, V any] interface {
	// Replace takes a whole table.
	Replace(rows []R, as V)
	// Apply takes changes.
	Apply(rows []R, as V)
	// Lost says that the store doesn't answer.
	Lost(cause error)
	// Regained says that the store answers again.
	Regained()
}

// Follower connects a Feed with a Sink.
type Follower[R any, V any] struct {
	Name string
	Feed Feed[R, V]
	Sink Sink[R, V]
	// Wait is how long one call waits for a change; zero means WaitFor(DefaultRecovery).
	Wait time.Duration
	// Rest returns how long the table need not be looked at, since others tell what
	// is new, zero when it has to be followed; nil means always. It is asked again
	// and again, and may change.
	Rest func() time.Duration
	Log  *slog.Logger

	// lost is when the store was found not to answer, zero while it does, and failed
	// counts the calls since that had no answer.
	lost   time.Time
	failed int
	// asked is when the store was last asked.
	asked time.Time
}

// Run follows until ctx ends, and returns its error.
func (f *Follower[R, V]) Run(ctx context.Context) error {
	var as V
	whole := true
	pause := firstPause
	for ctx.Err() == nil {
		if !f.asked.IsZero() {
			f.rest(ctx)
		}
		f.asked = time.Now()
		var err error
		if whole {
			as, err = f.read(ctx)
		} else {
			as, err = f.watch(ctx, as)
		}
		var dropped *HistoryLostError
		switch {
		case err == nil:
			whole = false
			pause = firstPause
			continue
		case errors.As(err, &dropped):
			f.Log.Info("history lost, reading the whole table", "table", f.Name)
			whole = true
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		}
		f.setLost(err)
		sleep(ctx, jitter(pause))
		pause = min(2*pause, maxPause)
	}
	return ctx.Err()
}

// restStep is how often a Follower that rests looks whether it still may.
const restStep = 100 * time.Millisecond

// rest waits until the table has to be looked at. Followers that rest for as long
// spread their calls.
func (f *Follower[R, V]) rest(ctx context.Context) {
	if f.Rest == nil {
		return
	}
	spread := 0.5 + rand.Float64()
	for ctx.Err() == nil {
		rest := time.Duration(spread * float64(f.Rest()))
		if time.Since(f.asked) >= rest {
			return
		}
		sleep(ctx, min(restStep, rest))
	}
}

func (f *Follower[R, V]) read(ctx context.Context) (V, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, as, err := f.Feed.Read(ctx)
	if err != nil {
		return as, err
	}
	f.setRegained()
	f.Sink.Replace(rows, as)
	return as, nil
}

func (f *Follower[R, V]) watch(ctx context.Context, after V) (V, error) {
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	rows, as, err := f.Feed.Watch(ctx, after, wait)
	if err != nil {
		return after, err
	}
	f.setRegained()
	if len(rows) > 0 {
		f.Sink.Apply(rows, as)
	}
	return as, nil
}

// wait returns how long the next call waits for a change. While the store doesn't
// answer it is none: a call that is swallowed by an outage would hide its end for as
// long as it waits, while routers go on with what was replaced meanwhile.
func (f *Follower[R, V]) wait() time.Duration {
	switch {
	case !f.lost.IsZero(), f.Rest != nil && f.Rest() > 0:
		return 0
	case f.Wait > 0:
		return f.Wait
	default:
		return WaitFor(DefaultRecovery)
	}
}

func (f *Follower[R, V]) setLost(cause error) {
	f.failed++
	if !f.lost.IsZero() {
		return
	}
	f.lost = time.Now()
	f.Log.Warn("dependency lost", "dependency", "store", "table", f.Name, "waited-ms", time.Since(f.asked).Milliseconds(), "error", cause)
	f.Sink.Lost(cause)
}

// setRegained notes an answer. Its line says how long there was none, how many calls
// failed, and how long the last one that succeeded took: a call that began in an
// outage and was given up late is told from a store that was away for so long.
func (f *Follower[R, V]) setRegained() {
	if f.lost.IsZero() {
		return
	}
	f.Log.Info("dependency regained", "dependency", "store", "table", f.Name, "lost-ms", time.Since(f.lost).Milliseconds(),
		"failed-calls", f.failed, "waited-ms", time.Since(f.asked).Milliseconds())
	f.lost = time.Time{}
	f.failed = 0
	f.Sink.Regained()
}

// jitter spreads the calls of routers that lost the store at the same moment.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}

func sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
