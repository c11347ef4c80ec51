// Package follow keeps a router up to date with tables in the platform's store:
// the configuration and the list of upstreams.
//
// A Follower reads a whole table and then long-polls for its changes. It handles
// the faults of such a feed: a store that is unavailable for long (the last state
// stays in effect, and the return is noticed within three seconds), a history that
// was dropped (the whole table is read again), and a store or a connection that stops
// responding without a reset (each call times out early enough for changes to be
// received within the recovery time).
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

const (
	// initialBackoff is the pause after the first failure. A store that normally
	// answers within a few milliseconds was probably only busy.
	initialBackoff = 40 * time.Millisecond
	// maxBackoff bounds how late the return of the store is noticed. It is not
	// shorter because refused calls cost the platform as much as others.
	maxBackoff = 800 * time.Millisecond
	// readTimeout bounds a full read, which normally takes a few milliseconds, and
	// a few hundred if the store is a hundred times slower.
	readTimeout = 1500 * time.Millisecond
	// answerMargin is how much longer than the requested wait an answer may take.
	answerMargin = 1200 * time.Millisecond
	// retryMargin allows for the next call after one that timed out.
	retryMargin = 400 * time.Millisecond
	// minWait bounds the rate of calls when the recovery time is too short to be kept.
	minWait = 300 * time.Millisecond
	// DefaultRecovery is how soon after an outage of the store its changes are known,
	// unless the deployment sets another time.
	DefaultRecovery = 3 * time.Second
)

// MaxWait returns how long one call may wait for a change so that changes are known
// within recovery after the store, or a connection to it, briefly stopped responding.
//
// A lost answer is noticed only when the call times out, and until then requests are
// handled by an outdated configuration. Longer waits cost fewer calls.
func MaxWait(recovery time.Duration) time.Duration {
	if recovery <= 0 {
		recovery = DefaultRecovery
	}
	return max(recovery-answerMargin-retryMargin, minWait)
}

// HistoryLostError is returned by Feed.Watch if the store no longer has the changes.
type HistoryLostError struct{ Table string }

// Error names the table.
func (e *HistoryLostError) Error() string { return "the history of " + e.Table + " was dropped" }

// Feed reads one table of the platform's store.
type Feed[R any, V any] interface {
	// Read returns the whole table and its revision.
	Read(ctx context.Context) (rows []R, revision V, err error)
	// Watch returns the changes after a revision as soon as there are any, or none
	// once wait has passed, and the revision to continue from. It fails with
	// *HistoryLostError if the store no longer has these changes.
	Watch(ctx context.Context, after V, wait time.Duration) (rows []R, revision V, err error)
}

// Sink receives the updates of a Follower. Its methods are not called concurrently.
type Sink[R any, V any] interface {
	// Replace is called with a whole table and its revision.
	Replace(rows []R, revision V)
	// Apply is called with changes and the revision after them.
	Apply(rows []R, revision V)
	// SetUnavailable is called when the store doesn't answer.
	SetUnavailable(cause error)
	// SetAvailable is called when the store answers again.
	SetAvailable()
}

// Follower passes the rows of a Feed on to a Sink.
type Follower[R any, V any] struct {
	Name string
	Feed Feed[R, V]
	Sink Sink[R, V]
	// Wait is how long one call waits for a change; zero means MaxWait(DefaultRecovery).
	Wait time.Duration
	// PollInterval returns the interval at which the table is polled while other routers
	// pass on its changes. Zero means to follow it without pauses, and so does a nil
	// PollInterval. It is called repeatedly, and the result may change.
	PollInterval func() time.Duration
	// Gather is how long, on average, a Follower waits after changes before it asks for more,
	// so that one call returns several. Zero asks at once.
	Gather time.Duration
	// Known returns the later of a revision and that up to which the changes of the table
	// are known from elsewhere. Nil returns the revision.
	Known func(V) V
	// ReadRequested reports whether the whole table has to be read with the next call, which is made
	// soon even if the table is only polled. It is called repeatedly; nil means never.
	ReadRequested func() bool
	// Confirmed is called after each answer of the store, once its rows were applied, with the
	// revision up to which it told all changes; nil calls nothing.
	Confirmed func(V)
	// History is how long the store keeps the changes of a table; zero means for ever.
	History time.Duration
	Log     *slog.Logger

	// unavailableSince is when the store was found not to answer, zero while it does, and
	// failedCalls counts the calls without an answer since then.
	unavailableSince time.Time
	failedCalls      int
	// hasJustRead is set if the latest call that succeeded read the whole table.
	hasJustRead bool
	// lastCall is when the latest call to the store began, and pauseBefore how long after the call
	// before it.
	lastCall    time.Time
	pauseBefore time.Duration
}

// Run follows the table until ctx ends, and returns the error of ctx.
func (f *Follower[R, V]) Run(ctx context.Context) error {
	var revision V
	readAll := true
	pause := initialBackoff
	for ctx.Err() == nil {
		if !f.lastCall.IsZero() {
			readAll = f.waitForPoll(ctx) || readAll
		}
		readAll = readAll || f.isHistoryOver()
		f.beginCall()
		var err error
		if readAll {
			revision, err = f.read(ctx)
		} else {
			revision, err = f.watch(ctx, f.known(revision))
		}
		var dropped *HistoryLostError
		switch {
		case err == nil:
			if f.hasJustRead = readAll; !readAll {
				pause = initialBackoff
			}
			readAll = false
			continue
		case errors.As(err, &dropped):
			f.Log.Info("history lost, reading the whole table", "table", f.Name)
			if readAll = true; f.hasJustRead {
				sleep(ctx, jitter(pause)) // the whole read did not help, so another one may not either
				pause = min(2*pause, maxBackoff)
			}
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		}
		f.setUnavailable(err)
		sleep(ctx, jitter(pause))
		pause = min(2*pause, maxBackoff)
	}
	return ctx.Err()
}

func (f *Follower[R, V]) beginCall() {
	now := time.Now()
	f.pauseBefore = 0
	if !f.lastCall.IsZero() {
		f.pauseBefore = now.Sub(f.lastCall)
	}
	f.lastCall = now
}

// known returns the revision after which changes are asked for.
func (f *Follower[R, V]) known(revision V) V {
	if f.Known == nil {
		return revision
	}
	return f.Known(revision)
}

// isHistoryOver reports whether the store has certainly dropped changes since the last call.
// Asking for them would be a call in vain.
func (f *Follower[R, V]) isHistoryOver() bool {
	return f.History > 0 && f.Known == nil && time.Since(f.lastCall) > f.History
}

// pollCheckInterval is how often a Follower that waits for its next poll calls
// PollInterval again.
const pollCheckInterval = 100 * time.Millisecond

// waitForPoll waits until the table has to be polled, and reports whether it has to be read whole. It
// spreads the calls of Followers with the same interval.
func (f *Follower[R, V]) waitForPoll(ctx context.Context) (readAll bool) {
	if f.PollInterval == nil {
		return f.isReadRequested()
	}
	spread := 0.5 + rand.Float64()
	for ctx.Err() == nil {
		interval := time.Duration(spread * float64(f.PollInterval()))
		if readAll = f.isReadRequested(); readAll || time.Since(f.lastCall) >= interval {
			return readAll
		}
		sleep(ctx, min(pollCheckInterval, interval))
	}
	return false
}

func (f *Follower[R, V]) isReadRequested() bool { return f.ReadRequested != nil && f.ReadRequested() }

func (f *Follower[R, V]) read(ctx context.Context) (V, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, revision, err := f.Feed.Read(ctx)
	if err != nil {
		return revision, err
	}
	f.setAvailable()
	f.Sink.Replace(rows, revision)
	f.confirm(revision)
	return revision, nil
}

func (f *Follower[R, V]) watch(parent context.Context, after V) (V, error) {
	wait := f.wait()
	ctx, cancel := context.WithTimeout(parent, wait+answerMargin)
	defer cancel()
	rows, revision, err := f.Feed.Watch(ctx, after, wait)
	if err != nil {
		return after, err
	}
	f.setAvailable()
	if len(rows) > 0 {
		f.Sink.Apply(rows, revision)
	}
	f.confirm(revision)
	if len(rows) > 0 {
		sleep(parent, jitter(f.Gather))
	}
	return revision, nil
}

func (f *Follower[R, V]) confirm(revision V) {
	if f.Confirmed != nil {
		f.Confirmed(revision)
	}
}

// wait returns how long the next call waits for a change. It is zero for polls, and while
// the store doesn't answer: a call that is lost in an outage would delay the detection of
// its end by the wait, while the router uses outdated rows.
func (f *Follower[R, V]) wait() time.Duration {
	switch {
	case !f.unavailableSince.IsZero(), f.PollInterval != nil && f.PollInterval() > 0:
		return 0
	case f.Wait > 0:
		return f.Wait
	default:
		return MaxWait(DefaultRecovery)
	}
}

func (f *Follower[R, V]) setUnavailable(cause error) {
	f.failedCalls++
	if !f.unavailableSince.IsZero() {
		return
	}
	f.unavailableSince = time.Now()
	f.Log.Warn("dependency lost", "dependency", "store", "table", f.Name, "waited-ms", time.Since(f.lastCall).Milliseconds(), "error", cause)
	f.Sink.SetUnavailable(cause)
}

// setAvailable records an answer of the store. The log line has the duration of the
// outage, the number of failed calls, the duration of the successful one and the time since the call
// before it, so that a call that timed out late, and a long time without calls, can be distinguished
// from a long outage.
func (f *Follower[R, V]) setAvailable() {
	if f.unavailableSince.IsZero() {
		return
	}
	f.Log.Info("dependency regained", "dependency", "store", "table", f.Name, "lost-ms", time.Since(f.unavailableSince).Milliseconds(),
		"failed-calls", f.failedCalls, "waited-ms", time.Since(f.lastCall).Milliseconds(), "pause-ms", f.pauseBefore.Milliseconds())
	f.unavailableSince = time.Time{}
	f.failedCalls = 0
	f.Sink.SetAvailable()
}

// jitter spreads the calls of routers that pause at the same time.
func jitter(pause time.Duration) time.Duration {
	if pause <= 0 {
		return 0
	}
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
