package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/segment"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	// streamWaitFraction is the fraction of the route's target that a stream may wait for its turn;
	// the account's share shortens or lengthens it. The rest is for reading the prompt and for the
	// network. Requests that wait longer are answered late and take the place of ones that would be
	// in time.
	streamWaitFraction = 0.25
	// plainWaitFraction is the same for other requests, which take about a fifth of their target to
	// run, and sometimes twice that.
	plainWaitFraction = 0.35
	// resumeMaxWait is how long a broken stream waits for another upstream. Its caller gives up
	// about two seconds after the last event.
	resumeMaxWait = time.Second
	// maxReadPause and maxFirstWait are the pauses between events, and before the first one, after which
	// an answer may have been read late.
	maxReadPause = 500 * time.Millisecond
	maxFirstWait = 2 * time.Second
	// backoffReturnSpread spreads the return of the callers that wait for one upstream's backoff to end.
	backoffReturnSpread = 300 * time.Millisecond
	// maxSends bounds how often one request is sent, whatever the outcomes.
	maxSends = 4
)

var (
	errDeadline       = eris.New("the caller's or the route's time is over")
	errCallerGone     = eris.New("the caller has disconnected")
	errUpstreamSilent = eris.New("the upstream was silent for too long")
	// errRetryBudget is logged when a request stays at a silent upstream for lack of retries.
	errRetryBudget = eris.New("the budget for retries is used up")
)

// job is the state of one request that is being handled. It is used by one goroutine.
type job struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	// caller is the caller's connection, nil if it has no limits.
	caller  *caller.Conn
	arrived time.Time
	// isRelayed is set if another router has handed the request over, and isHandedOver once this one
	// has.
	isRelayed, isHandedOver bool

	info     RequestInfo
	version  fleet.Version
	route    *route.Route
	service  fleet.ServiceID
	account  fleet.AccountID
	deadline time.Time
	// dataCenters are those in which the request may be served; empty means all.
	dataCenters []fleet.DataCenterID
	header      http.Header
	body        segment.List
	// bodyRead is how far the body has been read.
	bodyRead bodyState
	// cachedSubject is zero until subject has computed it.
	cachedSubject quarantine.Subject
	// cachedParts are the parts of the prompt once hasParts is set.
	cachedParts prompt.Parts
	hasParts    bool

	// sends counts how often the request was sent, sentAt is when it was last sent, and
	// possibleRuns counts the attempts that may have run it.
	sends        int
	sentAt       time.Time
	possibleRuns int
	// isProcessUnknown is set if the process that got the latest attempt isn't the one that the upstream's entry describes.
	isProcessUnknown bool
	tried            []turn.Instance
	// returnedTurns counts the turns that weren't used.
	returnedTurns int
	// progress is how far the answer of the latest attempt has come.
	progress progress
	// ticket is the turn of the latest attempt, nil before the first.
	ticket home.Ticket
	// nextTicket is the turn at another upstream for which the last attempt was ended, if any.
	nextTicket home.Ticket
	// silence describes how long the last attempt's upstream was silent.
	silence silence
	// headerSent is true once the header of an answer was sent. eventCount counts the events that
	// followed, and lastEventID is the id of the latest.
	headerSent  bool
	eventCount  int
	lastEventID uint64
	// began is the software version that began the stream, and how that is known. It is empty while
	// any version may serve the request.
	began origin.Finding
	// eventSends is the value of sends when the latest event was relayed.
	eventSends int
	// firstByteAt is when the header of the answer was sent.
	firstByteAt time.Time
	// errorAnswer is the latest error that an upstream itself answered with.
	errorAnswer *bufferedAnswer
	// queueTime is the total time spent waiting for turns.
	queueTime time.Duration
	// spentPatience is the part of queueTime that shortens further waits before the answer begins.
	spentPatience time.Duration
}

// bodyState is how far the body of a request has been read.
type bodyState int

const (
	bodyUnread bodyState = iota
	bodyBroken
	bodyWhole
)

// progress describes how much of an attempt's answer has arrived.
type progress struct {
	// headerAt and firstEventAt are when the header and the first event arrived, zero if they didn't.
	headerAt, firstEventAt time.Time
	events                 int
	// lastEventAt is when the latest event arrived, and longestPause the longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
	// recordAt is when the quarantine is next told that events have been arriving.
	recordAt time.Time
}

// addEvent records the arrival of an event.
func (p *progress) addEvent(now time.Time) {
	if p.events == 0 {
		p.firstEventAt = now
		p.recordAt = now.Add(diagnosis.SoundAfter)
	}
	if p.events > 0 {
		p.longestPause = max(p.longestPause, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
	p.events++
}

// isLateAt reports whether what has arrived may have been sent long before it was read, as when this process was
// stopped for a while.
func (p *progress) isLateAt(now, sentAt time.Time) bool {
	if p.events == 0 {
		return now.Sub(sentAt) > maxFirstWait
	}
	return max(p.longestPause, now.Sub(p.lastEventAt)) > maxReadPause || p.firstEventAt.Sub(sentAt) > maxFirstWait
}

// sinceHeader and sinceFirstEvent return how long ago these arrived, a negative time if they didn't.
func (p *progress) sinceHeader() time.Duration     { return sinceOrNever(p.headerAt) }
func (p *progress) sinceFirstEvent() time.Duration { return sinceOrNever(p.firstEventAt) }

func sinceOrNever(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return time.Since(at)
}

// serve sends the request, again where that is allowed, until it is answered or refused.
func (j *job) serve() {
	ctx, cancel := context.WithDeadlineCause(j.request.Context(), j.deadline, errDeadline)
	defer cancel()
	defer j.releaseNextTicket()
	j.handler.retries(j).RecordFirstAttempt(j.arrived)
	if j.isCallerGone() {
		j.abandon(nil)
		return
	}
	if refused := j.findOrigin(ctx); refused != nil {
		j.answerOrRefuse(refused)
		return
	}
	for {
		if refused := j.checkQuarantine(); refused != nil {
			j.answerOrRefuse(refused)
			return
		}
		ticket, refused := j.nextTurn(ctx)
		if refused != nil {
			j.answerOrRefuse(refused)
			return
		}
		if j.isCallerGone() {
			j.abandon(ticket)
			return
		}
		if refused := j.admitToUpstream(ctx); refused != nil {
			ticket.End(time.Now(), turn.Unsent)
			j.answerOrRefuse(refused)
			return
		}
		f := j.attempt(ctx, ticket)
		if f == nil {
			j.recordAnswer(ticket)
			return
		}
		j.logFailure(ctx, ticket, f)
		j.spendPatience(f)
		if f.errorAnswer != nil {
			j.errorAnswer = f.errorAnswer
		}
		if ctx.Err() != nil {
			j.answerOrRefuse(j.contextRefusal(ctx))
			return
		}
		if !j.mayRetry(f) {
			j.giveUp(f)
			return
		}
	}
}

// answerOrRefuse ends a request that isn't sent again: with the error that an upstream answered, if
// there is one, or else with a refusal.
func (j *job) answerOrRefuse(refused *refusal.Error) {
	if j.errorAnswer != nil && !j.headerSent && refused.Reason != refusal.CallerGone {
		j.writeAnswer(j.errorAnswer)
		return
	}
	j.refuse(refused)
}

func (h *Handler) retries(j *job) retry.Policy { return h.State.Retries(j.service) }

// turnRequest returns the turn.Request for the next turn.
func (j *job) turnRequest() turn.Request {
	request := turn.Request{
		Account: j.account, Prefixes: j.info.Prefixes, Tried: j.tried,
		Input: max(j.info.InputTokens, 1), Output: j.info.OutputTokens, Target: j.route.LatencyTarget,
		Software: j.began.Software, DataCenters: j.dataCenters,
	}
	request.Left = max(time.Until(j.deadline), 0)
	request.Age = time.Since(j.arrived)
	request.Patience = min(j.maxWait(), request.Left)
	return request
}

// cost returns the tokens that the request counts towards its account's service.
func (j *job) cost() float64 { return turn.Cost(max(j.info.InputTokens, 1), j.info.OutputTokens) }

// maxWait returns how long the request may wait for its next turn, negative if it has spent its
// patience, before its account's share and its deadline are taken into account.
func (j *job) maxWait() time.Duration {
	switch {
	case j.headerSent:
		return resumeMaxWait
	case j.route.Kind == route.Streaming:
		return time.Duration(streamWaitFraction*float64(j.route.LatencyTarget)) - j.spentPatience
	default:
		return time.Duration(plainWaitFraction*float64(j.route.LatencyTarget)) - j.spentPatience
	}
}

// nextTurn returns the turn that was found while the last upstream was silent, or waits for one.
func (j *job) nextTurn(ctx context.Context) (home.Ticket, *refusal.Error) {
	if j.nextTicket == nil {
		return j.awaitTurn(ctx)
	}
	next := j.nextTicket
	j.nextTicket = nil
	return next, nil
}

// releaseNextTicket gives back an unused turn.
func (j *job) releaseNextTicket() {
	if j.nextTicket != nil {
		j.nextTicket.End(time.Now(), turn.Unsent)
	}
}

// awaitTurn waits for a turn and adds the wait to queueTime.
func (j *job) awaitTurn(ctx context.Context) (home.Ticket, *refusal.Error) {
	start := time.Now()
	ticket, err := j.waitInQueue(ctx, j.turnRequest())
	j.queueTime += time.Since(start)
	switch {
	case err == nil:
		return ticket, nil
	case ctx.Err() != nil:
		return nil, j.contextRefusal(ctx)
	}
	return nil, j.turnRefusal(err)
}

// waitInQueue waits for a turn while the request counts in the queue of its account.
func (j *job) waitInQueue(ctx context.Context, request turn.Request) (home.Ticket, error) {
	j.handler.queues.Enter(time.Now(), j.queueKey())
	granted := false
	defer func() { j.handler.queues.Leave(time.Now(), j.queueKey(), granted) }() // also if Turn panics
	ticket, err := j.handler.State.Turn(ctx, j.service, request)
	granted = err == nil
	return ticket, err
}

func (j *job) turnRefusal(err error) *refusal.Error {
	out := refusal.New(refusal.DeadlineBeforeTurn, err.Error(), 0)
	out.Cause = err
	var refused *turn.RefusedError
	if errors.As(err, &refused) {
		out.RetryAfter = refused.RetryAfter
		if refused.Lack != "" {
			j.handler.Metrics.RefusedTurns.WithLabelValues(string(refused.Lack)).Inc()
		}
		switch {
		case refused.Lack == turn.LackLeaving:
			out.Reason = refusal.UpstreamsLeaving
		case refused.Lack == turn.LackBackoff:
			out.Reason = refusal.UpstreamsBackOff
			out.RetryAfter += rand.N(backoffReturnSpread)
		case refused.NoSoftware:
			out.Reason = refusal.SoftwareReplaced
		case refused.NoUpstream:
			out.Reason = refusal.NoUpstream
		case refused.Capped:
			out.Reason = refusal.AccountAhead
		}
	}
	out.Outcome = j.outcome()
	return out
}

// outcome returns NotRun if no upstream can have run the request, else Unknown.
func (j *job) outcome() refusal.Outcome {
	if j.possibleRuns > 0 {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// contextRefusal returns the refusal of a request whose context has ended.
func (j *job) contextRefusal(ctx context.Context) *refusal.Error {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return &refusal.Error{Reason: refusal.DeadlinePassed, Outcome: j.outcome(), Detail: errDeadline.Error()}
	}
	return j.callerGone()
}

// mayRetry reports whether the request may be sent again after a failure, and charges a retry to
// the budget where one is needed.
func (j *job) mayRetry(f *failure) bool {
	if f.final || j.sends >= maxSends || (f.sent && !f.notRun && j.isSuspected()) {
		return false
	}
	if j.nextTicket != nil {
		return true
	}
	if !j.mayMove() {
		return false
	}
	if !f.notRun && (!j.route.Idempotent() || j.possibleRuns >= j.route.MaxAttempts) {
		return false
	}
	if !f.sent {
		j.countRetry(f.reason)
		return true
	}
	allowed := j.handler.retries(j).Allow(time.Now(), retry.Attempt{
		Number: 1, Outcome: f.outcome(), Idempotent: j.route.Idempotent(),
		AnswerStarted: j.headerSent, Resumable: j.headerSent, Deadline: j.deadline,
	})
	if allowed {
		j.countRetry(f.reason)
	}
	return allowed
}

func (j *job) countRetry(reason retry.Reason) {
	j.handler.Metrics.Retries.WithLabelValues(string(reason)).Inc()
}

// giveUp ends a request after its last failure.
func (j *job) giveUp(f *failure) {
	if f.notRun && j.possibleRuns == 0 {
		after := notReadyRetryAfter
		if f.backoff == 0 { // that of one upstream is no reason for the caller to wait, as others may take the request
			after = max(after, f.retryAfter)
		}
		j.answerOrRefuse(&refusal.Error{Reason: refusal.UpstreamBusy, Outcome: refusal.NotRun, Detail: "no upstream took the request", RetryAfter: after, Cause: f.cause})
		return
	}
	j.answerOrRefuse(&refusal.Error{Reason: refusal.UpstreamFailed, Outcome: refusal.Unknown, Detail: "the upstream gave no whole answer", Cause: f.cause})
}
