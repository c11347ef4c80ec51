package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/answer"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/segment"
	"nutmeglock.example/nutmeglock/stream"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// errNotFromUpstream is the cause of a failed attempt whose answer can't come from the upstream
// itself.
var errNotFromUpstream = eris.New("the answer doesn't come from the upstream itself")

// errDrained is the cause of an exchange that ended because the rest of its body takes too long.
var errDrained = eris.New("the rest of the body takes too long")

const (
	// drainTime and maxDrained, in bytes, bound the reading of a body that nobody needs.
	drainTime  = 20 * time.Millisecond
	maxDrained = 16 << 10
	// maxBuffered is the size in bytes up to which an answer is buffered before it is relayed. If
	// it breaks off before, the request can still be retried.
	maxBuffered = 256 << 10
	// silenceFactor, applied to the target, and silenceMargin bound the wait for the first event of
	// a stream that can be resumed elsewhere. Upstream queues are kept below the target, so an
	// upstream that takes half as long again, plus the time for a few lost packets, is stuck.
	// Callers give up at four times the target.
	silenceFactor = 1.5
	silenceMargin = 700 * time.Millisecond
	// pauseFactor and pauseMargin bound the pauses between events in the same way.
	pauseFactor = 2.0
	pauseMargin = 400 * time.Millisecond
	// plainSilenceFactor is the multiple of the target after which an idempotent plain request is
	// tried elsewhere; it usually takes a fifth of the target.
	plainSilenceFactor = 1.5
)

// failure describes an attempt that produced no answer to relay.
type failure struct {
	reason retry.Reason
	// sent is true when a byte of the request may have left this machine; notRun when the upstream
	// certainly hasn't run the request and won't.
	sent   bool
	notRun bool
	// final is true when the request can't be retried.
	final      bool
	retryAfter time.Duration
	// backoff and leaving are what the upstream stated in its answer.
	backoff time.Duration
	leaving bool
	// errorAnswer is the error that the upstream answered with. It is relayed if the request isn't
	// sent again.
	errorAnswer *bufferedAnswer
	cause       error
}

func (f *failure) outcome() refusal.Outcome {
	if f.notRun {
		return refusal.NotRun
	}
	return refusal.Unknown
}

// bufferedAnswer is an answer that was read into memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   segment.List
}

// attempt sends the request to the upstream of a ticket. It returns nil once the answer has been
// relayed completely.
func (j *job) attempt(ctx context.Context, ticket home.Ticket) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.sends++
	j.ticket = ticket
	j.sentAt = time.Now()
	j.progress = progress{}
	j.tried = append(j.tried, turn.InstanceOf(ticket.Upstream()))
	j.recordLeaving(ticket.Upstream())
	watch := newSilenceWatch(ctx, cancel, j.silenceLimit(), j.otherUpstreamFinder(), j.handler.Guard)
	defer func() { j.nextTicket, j.silence = watch.stop() }()

	answer, err := j.send(ctx, ticket, &watch.probe)
	if err != nil {
		return j.failSend(ctx, ticket, err)
	}
	defer answer.Body.Close()
	j.progress.headerAt = time.Now()
	info := j.handler.Codec.ParseAnswer(answer.Status, answer.Header)
	j.recordStatements(ticket.Upstream(), answer.Status, info)
	j.recordLoad(ticket, info)
	if info.NotRun {
		ticket.End(time.Now(), turn.Refused)
		j.drain(answer, cancel)
		return &failure{
			reason: retry.UpstreamRefused, sent: true, notRun: true, retryAfter: retryAfter(answer.Header), backoff: info.Backoff, leaving: info.Leaving,
		}
	}
	j.possibleRuns++
	if isNotFromUpstream(answer.Status, info) {
		f := &failure{reason: retry.BrokenBeforeAnswer, sent: true, cause: errNotFromUpstream}
		ticket.End(time.Now(), turn.Failed)
		return f
	}
	if j.isStream(answer) {
		return j.relay(ctx, ticket, answer, watch)
	}
	return j.relayPlain(ctx, ticket, answer, watch)
}

// isNotFromUpstream reports whether an answer can't come from the upstream itself: a success
// without its signature, or a status that implies "not run" though the upstream didn't state it.
func isNotFromUpstream(status int, info AnswerInfo) bool {
	return impliesNotRun(status) || (isSuccess(status) && !info.Signed)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

func (j *job) isStream(answer *upstream.Answer) bool {
	return j.route.Kind == route.Streaming && answer.Status == http.StatusOK
}

func (j *job) send(ctx context.Context, ticket home.Ticket, probe *upstream.Probe) (*upstream.Answer, error) {
	to := ticket.Upstream()
	info := AttemptInfo{TimeLeft: time.Until(j.deadline), Account: j.account, Upstream: to, FetchFrom: ticket.FetchFrom()}
	if j.headerSent && j.lastEventID > 0 {
		info.LastEventID = strconv.FormatUint(j.lastEventID, 10)
	}
	j.handler.Codec.SetUpstreamHeader(j.header, info)
	request := upstream.Request{
		ID: j.info.ID, Method: j.request.Method, URI: j.request.RequestURI,
		Host: j.request.Host, Header: j.header, Body: j.body, Probe: probe,
		Permit: func() error { return j.permit(to) },
	}
	identification := j.identification()
	if identification != NoIdentification {
		request.Process = to.StartTime
	}
	answer, err := j.handler.Client.Do(ctx, to.Address, request)
	var other *upstream.OtherProcessError
	j.isProcessUnknown = identification == PreferredIdentification && errors.As(err, &other)
	if j.isProcessUnknown {
		request.Process = 0
		return j.handler.Client.Do(ctx, to.Address, request)
	}
	return answer, err
}

// failSend classifies the failure of an exchange that returned no answer and ends the ticket.
func (j *job) failSend(ctx context.Context, ticket home.Ticket, err error) *failure {
	var avoided *AvoidedError
	if errors.As(err, &avoided) {
		return j.returnTurn(ticket, avoided)
	}
	f := &failure{reason: retry.BrokenBeforeAnswer, sent: true, cause: err}
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		f.sent = false
		f.notRun = true
		f.reason = retry.ConnectFailed
	}
	if f.sent {
		j.possibleRuns++
	}
	if isMalformed(err) {
		f.reason = retry.MalformedAnswer
	}
	return j.fail(ctx, ticket, f)
}

// isMalformed reports whether an exchange failed because what the upstream sent could no longer become an answer.
func isMalformed(err error) bool {
	var (
		head     *upstream.HeadTooLargeError
		invalid  *answer.InvalidHeadError
		stray    *upstream.StrayAnswersError
		event    *stream.TooLargeError
		progress *stream.NoProgressError
	)
	return errors.As(err, &head) || errors.As(err, &invalid) || errors.As(err, &stray) || errors.As(err, &event) || errors.As(err, &progress)
}

// drain reads a body that nobody needs, so that its connection can be used again, unless that takes too long.
func (j *job) drain(answer *upstream.Answer, cancel context.CancelCauseFunc) {
	timer := time.AfterFunc(drainTime, func() { cancel(errDrained) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, answer.Body, maxDrained)
}

// fail ends the ticket of a failed attempt.
func (j *job) fail(ctx context.Context, ticket home.Ticket, f *failure) *failure {
	if f.sent && isUpstreamDisconnect(ctx, f.cause) {
		j.recordBroken(ticket)
	}
	ticket.End(time.Now(), j.upstreamOutcome(ctx, f))
	return f
}

// upstreamOutcome returns the outcome that is recorded for the upstream of a failed attempt.
func (j *job) upstreamOutcome(ctx context.Context, f *failure) turn.Outcome {
	cause := context.Cause(ctx)
	var sink *stream.SinkError
	switch {
	case errors.As(f.cause, &sink):
		return turn.Abandoned
	case errors.Is(cause, errUpstreamSilent):
		return turn.Failed
	case errors.Is(cause, errDeadline) && j.sends > 0 && time.Since(j.arrived) > j.route.LatencyTarget:
		return turn.Failed
	case cause != nil:
		return turn.Abandoned
	case !f.sent:
		return turn.Unreachable
	}
	return turn.Failed
}

// silenceLimit returns how long the upstream may be silent before its first event; zero means no
// limit, when the request can't be retried anyway.
func (j *job) silenceLimit() time.Duration {
	switch {
	case !j.route.Idempotent() || j.possibleRuns+1 >= j.route.MaxAttempts || j.sends+1 >= maxSends:
		return 0
	case j.route.Kind == route.Streaming:
		return time.Duration(silenceFactor*float64(j.route.LatencyTarget)) + silenceMargin
	default:
		return time.Duration(plainSilenceFactor * float64(j.route.LatencyTarget))
	}
}

// relayPlain relays an answer that isn't a stream, buffered if it is small enough.
func (j *job) relayPlain(ctx context.Context, ticket home.Ticket, answer *upstream.Answer, watch *silenceWatch) *failure {
	body, whole, err := j.buffer(answer)
	if err != nil {
		return j.fail(ctx, ticket, &failure{reason: retry.BrokenBeforeAnswer, sent: true, cause: err})
	}
	ticket.RecordFirstEvent(time.Now())
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if !whole {
		if !watch.keepUpstream() {
			ticket.End(time.Now(), turn.Failed)
			return &failure{reason: retry.BrokenBeforeAnswer, sent: true, cause: errUpstreamSilent}
		}
		return j.relayUnbuffered(ctx, ticket, buffered, answer)
	}
	if j.isCutOff(ctx, ticket, answer) {
		return j.fail(ctx, ticket, &failure{reason: retry.BrokenBeforeAnswer, sent: true, cause: io.ErrUnexpectedEOF})
	}
	if answer.Status >= http.StatusInternalServerError {
		j.recordServed()
		ticket.End(time.Now(), turn.Failed)
		return &failure{reason: retry.AnsweredError, sent: true, errorAnswer: buffered}
	}
	ticket.End(time.Now(), turn.Served)
	if j.headerSent {
		return &failure{reason: retry.StreamBroken, sent: true, final: true, cause: errNotResumed}
	}
	j.writeAnswer(buffered)
	return nil
}

// errTooLong ends the buffering of an answer that is passed on as it comes.
var errTooLong = eris.New("the answer is too long to be buffered")

// buffer reads an answer into memory. If it is too long, or callers hold too much memory, it returns the first part and
// whole is false.
func (j *job) buffer(answer *upstream.Answer) (body segment.List, whole bool, err error) {
	reader := segment.Reader{
		Take: func(bytes int64) error {
			if j.caller.Lease().Take(time.Now(), bytes) != nil {
				return errTooLong // its caller gets it all the same
			}
			return nil
		},
		OnRead: func(total int64) error {
			if total > maxBuffered {
				return errTooLong
			}
			return nil
		},
	}
	length := answer.Length
	if j.request.Method == http.MethodHead {
		length = -1 // the length is that of an answer with a body
	}
	body, err = reader.ReadAll(answer.Body, length)
	switch {
	case errors.Is(err, errTooLong):
		return body, false, nil
	case err == nil && length >= 0:
		_, err = io.Copy(io.Discard, answer.Body) // its end, so that the connection can be used again
	}
	return body, err == nil, err
}

// relayUnbuffered relays an answer that is too long to be buffered. buffered holds the
// part that was already read.
func (j *job) relayUnbuffered(ctx context.Context, ticket home.Ticket, buffered *bufferedAnswer, answer *upstream.Answer) *failure {
	if j.headerSent {
		return &failure{reason: retry.StreamBroken, sent: true, final: true, cause: errNotResumed}
	}
	j.sendHeader(buffered.status, buffered.header, answer.Length)
	_, _ = buffered.body.WriteTo(j.writer) // if the caller has disconnected, ctx ends
	_, err := io.Copy(j.writer, answer.Body)
	if err == nil && j.isCutOff(ctx, ticket, answer) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return j.fail(ctx, ticket, &failure{reason: retry.StreamBroken, sent: true, final: true, cause: err})
	}
	ticket.End(time.Now(), turn.Served)
	return nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
