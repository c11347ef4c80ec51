package call

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/resume"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/timer"
)

// Runner runs accepted requests. Source, Retry and Client must be set. It is
// safe for concurrent use.
type Runner struct {
	Source dispatch.Source
	Retry  retry.Policy
	Client *attempt.Client
	// Claims lets non-idempotent requests with an idempotency key run once;
	// without it they are refused.
	Claims *claim.Store
	// Tokens issues resume tokens; without it streams can't be resumed by callers.
	Tokens *resume.Issuer
	// Timer is the clock; nil means the system clock.
	Timer timer.Service
	// Metrics counts retries, cost and times to the first byte; it may be nil. The
	// Source counts waiting requests and those in flight.
	Metrics *metric.Set
	// Observers receive a report of each request that ended.
	Observers Observers

	cancellations sync.WaitGroup
}

// Run runs a request and writes the answer to w. It returns nil if the answer
// was written in full, *refusal.Error if nothing was written, and *BrokenError
// if only a part was. ctx must end when the caller disconnects.
func (r *Runner) Run(ctx context.Context, w http.ResponseWriter, request Request) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	e := &execution{runner: r, request: &request, w: newDeadlineWriter(w, request.Deadline), arrived: r.now(), worstOutcome: refusal.NotRun}
	return e.run(ctx)
}

// Wait waits for the pending cancellations of streams, at most two seconds after
// the last Run.
func (r *Runner) Wait() { r.cancellations.Wait() }

func (r *Runner) now() time.Time {
	return r.clock().Now()
}

func (r *Runner) clock() timer.Service {
	if r.Timer == nil {
		return timer.System{}
	}
	return r.Timer
}

// execution is the state of one call of Run.
type execution struct {
	runner  *Runner
	request *Request
	w       http.ResponseWriter
	arrived time.Time
	// partialReport holds the fields of the report that are known so far.
	partialReport Report
	attempts      int
	// avoidedUpstreams lists the upstreams of failed attempts.
	avoidedUpstreams []fleet.UpstreamID
	// worstOutcome is the worst outcome of the failed attempts so far.
	worstOutcome refusal.Outcome
	// answerStarted is true once the header of an answer was written.
	answerStarted bool
	// claim is the claim of a non-idempotent request with a key, else nil.
	claim *claim.Claim
}

func (e *execution) run(ctx context.Context) error {
	err := e.runWithRetries(ctx)
	e.endClaim(ctx, err)
	e.report(ctx, err)
	return err
}

// runWithRetries makes attempts until one succeeds or no retry is allowed.
func (e *execution) runWithRetries(ctx context.Context) error {
	if err := e.checkClaims(); err != nil {
		return err
	}
	e.runner.Retry.RecordFirstAttempt(e.arrived)
	for {
		slot, err := e.runner.Source.Acquire(ctx, e.request.dispatchRequest(e.avoidedUpstreams))
		if err != nil {
			return e.refusalFor(ctx, err)
		}
		if e.attempts == 0 {
			e.partialReport.QueueTime = e.runner.now().Sub(e.arrived)
		}
		if e.request.needsClaim() && e.claim == nil {
			var replayed bool
			if replayed, err = e.acquireClaim(ctx, slot); replayed || err != nil {
				return err
			}
			var cancel context.CancelFunc
			ctx, cancel = e.detachFromCaller(ctx)
			defer cancel()
		}
		e.attempts++
		err = e.runAttempt(ctx, slot)
		if err == nil {
			return nil
		}
		if e.answerStarted {
			return &BrokenError{Outcome: worseOutcome(e.worstOutcome, refusal.Run), Cause: err}
		}
		if !e.shouldRetry(ctx, err) {
			return e.refusalFor(ctx, err)
		}
		e.worstOutcome = worseOutcome(e.worstOutcome, outcomeOf(err))
		e.avoidedUpstreams = append(e.avoidedUpstreams, fleet.UpstreamID(slot.Upstream().GetId()))
	}
}

// shouldRetry reports whether another attempt follows. A non-idempotent request
// without an idempotency key is never retried.
func (e *execution) shouldRetry(ctx context.Context, err error) bool {
	var failed *attempt.Error
	if ctx.Err() != nil || !errors.As(err, &failed) {
		return false
	}
	if !e.request.Idempotent && e.request.IdempotencyKey == "" {
		return false
	}
	now := e.runner.now()
	allowed := e.runner.Retry.Allow(now, retry.Attempt{
		Number: e.attempts, Outcome: failed.Facts.Outcome(), Idempotent: e.request.Idempotent,
		Deadline: e.request.Deadline,
	})
	if allowed {
		e.runner.countRetry(failed.RetryReason())
	}
	return allowed
}

func (r *Runner) countRetry(reason retry.Reason) {
	if r.Metrics != nil {
		r.Metrics.Retries.WithLabelValues(string(reason)).Inc()
	}
}

// newStreamID returns 128 random bits in hex, so that the ids of other callers'
// streams can't be guessed.
func newStreamID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
