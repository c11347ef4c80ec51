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

// Runner runs accepted requests. Source, Retry and Client have to be set. It is
// safe for concurrent use.
type Runner struct {
	Source dispatch.Source
	Retry  retry.Policy
	Client *attempt.Client
	// Claims lets calls with an idempotency key run once; without it they are
	// refused.
	Claims *claim.Store
	// Tokens issues resume tokens; without it streams have none.
	Tokens *resume.Issuer
	// Timer tells the time; nil means the machine's clock.
	Timer timer.Service
	// Metrics counts retries, service and first bytes; it may be nil. What
	// waits and is in flight is the Source's to count.
	Metrics *metric.Set
	// Observers are told of each request that ended.
	Observers Observers

	cancels sync.WaitGroup
}

// Run serves a request and writes the answer to w. It returns nil when the
// answer is out whole, *refusal.Error when nothing was written, and
// *BrokenError when the answer broke off. ctx ends when the caller is gone.
func (r *Runner) Run(ctx context.Context, w http.ResponseWriter, request Request) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	e := &execution{runner: r, request: &request, w: bound(w, request.Deadline), arrived: r.now(), outcome: refusal.NotRun}
	return e.run(ctx)
}

// Wait returns when the cancellations that are under way have ended, at most
// two seconds after the last Run.
func (r *Runner) Wait() { r.cancels.Wait() }

func (r *Runner) now() time.Time {
	return r.clock().Now()
}

func (r *Runner) clock() timer.Service {
	if r.Timer == nil {
		return timer.System{}
	}
	return r.Timer
}

// execution is one Run.
type execution struct {
	runner  *Runner
	request *Request
	w       http.ResponseWriter
	arrived time.Time
	// ended is what the request's report has so far.
	ended Report
	tries int
	avoid []fleet.UpstreamID
	// outcome is the worst of the attempts so far.
	outcome refusal.Outcome
	// started is true once a byte of an answer went out.
	started bool
	// claim is the right to send a call that may run once; nil without a key.
	claim *claim.Claim
}

func (e *execution) run(ctx context.Context) error {
	err := e.repeat(ctx)
	e.endClaim(ctx, err)
	e.report(ctx, err)
	return err
}

// repeat makes attempts until one answers, or none may follow.
func (e *execution) repeat(ctx context.Context) error {
	if err := e.claimable(); err != nil {
		return err
	}
	e.runner.Retry.First(e.arrived)
	for {
		slot, err := e.runner.Source.Acquire(ctx, e.request.work(e.avoid))
		if err != nil {
			return e.refuse(ctx, err)
		}
		if e.tries == 0 {
			e.ended.Queue = e.runner.now().Sub(e.arrived)
		}
		if e.request.claimed() && e.claim == nil {
			var replayed bool
			if replayed, err = e.takeClaim(ctx, slot); replayed || err != nil {
				return err
			}
			var cancel context.CancelFunc
			ctx, cancel = e.outliveCaller(ctx)
			defer cancel()
		}
		e.tries++
		err = e.try(ctx, slot)
		if err == nil {
			return nil
		}
		if e.started {
			return &BrokenError{Outcome: worse(e.outcome, refusal.Run), Cause: err}
		}
		if !e.again(ctx, err) {
			return e.refuse(ctx, err)
		}
		e.outcome = worse(e.outcome, outcomeOf(err))
		e.avoid = append(e.avoid, fleet.UpstreamID(slot.Upstream().GetId()))
	}
}

// again decides whether another attempt follows. A call that may run once at
// most and came without an idempotency key is never repeated.
func (e *execution) again(ctx context.Context, err error) bool {
	var failed *attempt.Error
	if ctx.Err() != nil || !errors.As(err, &failed) {
		return false
	}
	if !e.request.Idempotent && e.request.Key == "" {
		return false
	}
	now := e.runner.now()
	allowed := e.runner.Retry.Allow(now, retry.Attempt{
		Count: e.tries, Outcome: failed.Facts.Outcome(), Idempotent: e.request.Idempotent,
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

// newStreamID returns 128 random bits in hex. Nobody can guess another
// caller's stream by it.
func newStreamID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
