package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	// streamPatience is the part of the target that a stream may wait here for
	// its turn, more or less by its account; the rest is for reading its prompt and
	// for the way. Longer waits end in late answers, which take the place of ones
	// in time.
	streamPatience = 0.25
	// plainPatience is the same for other requests, whose work takes about a
	// fifth of their target.
	plainPatience = 0.6
	// resumePatience is how long a broken stream waits for a place to go on at.
	// Its caller gives up about two seconds after the last event.
	resumePatience = time.Second
	// maxSends bounds how often one request is sent, whatever came of it.
	maxSends = 4
)

var (
	errDeadline = eris.New("the caller's or the route's time is over")
	errLeft     = eris.New("the caller has left")
	errSilent   = eris.New("the upstream was silent for too long")
	// errNoRetries is why a request stays at a silent upstream.
	errNoRetries = eris.New("the budget for retries is used up")
)

// job is one request in hand. It is used by one goroutine.
type job struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	intake   Intake
	version  fleet.Version
	route    *route.Route
	service  fleet.ServiceID
	account  fleet.AccountID
	deadline time.Time
	header   http.Header
	body     []byte
	// print is zero until fingerprint has worked it out.
	print quarantine.Fingerprint

	// sends counts what was sent, runs what may have been run, and sent is when the
	// latest was sent.
	sends int
	sent  time.Time
	runs  int
	tried []turn.Instance
	// ticket is the turn of the latest attempt, nil before the first.
	ticket home.Ticket
	// next is the turn in whose favour the last attempt has ended, if any.
	next home.Ticket
	// silence is what is known of the last attempt's upstream being silent.
	silence silence
	// begun is true once the header of an answer has gone out, events counts
	// what followed it, and last is the id of the latest event.
	begun  bool
	events int
	last   uint64
	// firstEvent is when the first byte of the answer went out.
	firstEvent time.Time
	// answer is the error that an upstream answered the last attempt with.
	answer *whole
	// waited is the time in the queue.
	waited time.Duration
}

// serve passes the request on until it is answered or given up.
func (j *job) serve() {
	ctx, cancel := context.WithDeadlineCause(j.request.Context(), j.deadline, errDeadline)
	defer cancel()
	defer j.dropNext()
	j.handler.retries(j).First(j.arrived)
	if j.hasLeft() {
		j.leave(nil)
		return
	}
	for {
		if refused := j.checkQuarantine(); refused != nil {
			j.refuseOrPass(refused)
			return
		}
		ticket, refused := j.nextTurn(ctx)
		if refused != nil {
			j.refuseOrPass(refused)
			return
		}
		if j.hasLeft() {
			j.leave(ticket)
			return
		}
		if refused := j.checkQuarantine(); refused != nil {
			ticket.End(time.Now(), turn.Unsent)
			j.refuseOrPass(refused)
			return
		}
		f := j.attempt(ctx, ticket)
		if f == nil {
			j.answered(ticket)
			return
		}
		j.logFailure(ctx, ticket, f)
		if f.answer != nil {
			j.answer = f.answer
		}
		if ctx.Err() != nil {
			j.refuseOrPass(j.over(ctx))
			return
		}
		if !j.mayRepeat(f) {
			j.giveUp(f)
			return
		}
	}
}

// refuseOrPass answers a request that isn't sent again: with what an upstream
// has answered, if it has, or with a refusal.
func (j *job) refuseOrPass(refused *refusal.Error) {
	if j.answer != nil && !j.begun && refused.Reason != refusal.CallerGone {
		j.pass(j.answer)
		return
	}
	j.refuse(refused)
}

func (h *Handler) retries(j *job) retry.Policy { return h.State.Retries(j.service) }

// demand returns what the request needs for its next turn.
func (j *job) demand() turn.Demand {
	d := turn.Demand{
		Account: j.account, Beginnings: j.intake.Beginnings, Tried: j.tried,
		Input: max(j.intake.Input, 1), Output: j.intake.Output, Target: j.route.Target,
	}
	d.Patience = max(min(j.patience(), time.Until(j.deadline)), 0)
	return d
}

// cost returns what the request counts in its account's service.
func (j *job) cost() float64 { return turn.Cost(max(j.intake.Input, 1), j.intake.Output) }

// patience returns how long the request may wait for its next turn, its account
// and its deadline aside.
func (j *job) patience() time.Duration {
	switch {
	case j.begun:
		return resumePatience
	case j.route.Kind == route.Streaming:
		return time.Duration(streamPatience * float64(j.route.Target))
	default:
		return time.Duration(plainPatience * float64(j.route.Target))
	}
}

// nextTurn returns the turn that was found while an upstream was silent, or waits for one.
func (j *job) nextTurn(ctx context.Context) (home.Ticket, *refusal.Error) {
	if j.next == nil {
		return j.takeTurn(ctx)
	}
	next := j.next
	j.next = nil
	return next, nil
}

// dropNext gives a turn back that isn't needed any more.
func (j *job) dropNext() {
	if j.next != nil {
		j.next.End(time.Now(), turn.Unsent)
	}
}

// takeTurn waits for a turn.
func (j *job) takeTurn(ctx context.Context) (home.Ticket, *refusal.Error) {
	asked := time.Now()
	ticket, err := j.wait(ctx, j.demand())
	j.waited += time.Since(asked)
	switch {
	case err == nil:
		return ticket, nil
	case ctx.Err() != nil:
		return nil, j.over(ctx)
	}
	return nil, j.turnRefusal(err)
}

// wait waits for a turn in the line of the account.
func (j *job) wait(ctx context.Context, demand turn.Demand) (home.Ticket, error) {
	j.handler.lines.Enter(time.Now(), j.line())
	granted := false
	defer func() { j.handler.lines.Leave(time.Now(), j.line(), granted) }() // also if Turn panics
	ticket, err := j.handler.State.Turn(ctx, j.service, demand)
	granted = err == nil
	return ticket, err
}

func (j *job) turnRefusal(err error) *refusal.Error {
	out := refusal.New(refusal.DeadlineBeforeTurn, err.Error(), 0)
	out.Cause = err
	var refused *turn.RefusedError
	if errors.As(err, &refused) {
		out.RetryAfter = refused.RetryAfter
		switch {
		case refused.NoUpstream:
			out.Reason = refusal.NoUpstream
		case refused.Held:
			out.Reason = refusal.AccountAhead
		}
	}
	out.Outcome = j.outcome()
	return out
}

// outcome returns what is known of the request's runs.
func (j *job) outcome() refusal.Outcome {
	if j.runs > 0 {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// over returns why a request ends whose context has.
func (j *job) over(ctx context.Context) *refusal.Error {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return &refusal.Error{Reason: refusal.DeadlinePassed, Outcome: j.outcome(), Detail: errDeadline.Error()}
	}
	return j.gone()
}

// mayRepeat reports whether the request may be sent again after a failure, and
// takes what that costs.
func (j *job) mayRepeat(f *failure) bool {
	if f.final || j.sends >= maxSends || (f.sent && !f.notRun && j.isOnProbation()) {
		return false
	}
	if j.next != nil {
		return true
	}
	if j.begun && (j.route.Kind != route.Streaming || !j.route.Resumable) {
		return false
	}
	if !f.notRun && (!j.route.Idempotent() || j.runs >= j.route.Attempts) {
		return false
	}
	if !f.sent {
		j.count(f.reason)
		return true
	}
	allowed := j.handler.retries(j).Allow(time.Now(), retry.Attempt{
		Count: 1, Outcome: f.outcome(), Idempotent: j.route.Idempotent(),
		AnswerStarted: j.begun, Resumable: j.begun, Deadline: j.deadline,
	})
	if allowed {
		j.count(f.reason)
	}
	return allowed
}

func (j *job) count(reason retry.Reason) {
	j.handler.Metrics.Retries.WithLabelValues(string(reason)).Inc()
}

// giveUp answers a request after its last failure: with the upstream's own
// answer when there is one, or a refusal.
func (j *job) giveUp(f *failure) {
	if f.notRun && j.runs == 0 {
		after := max(f.retryAfter, notReadyRetryAfter)
		j.refuseOrPass(&refusal.Error{Reason: refusal.UpstreamBusy, Outcome: refusal.NotRun, Detail: "no upstream took the request", RetryAfter: after, Cause: f.cause})
		return
	}
	j.refuseOrPass(&refusal.Error{Reason: refusal.UpstreamFailed, Outcome: refusal.Unknown, Detail: "the upstream gave no whole answer", Cause: f.cause})
}
