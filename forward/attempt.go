package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/stream"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

// errFalse is the cause of an answer that isn't the upstream's own.
var errFalse = eris.New("the answer lacks what an upstream's answer has")

const (
	// maxBuffered bounds the answers that are read whole before they are passed
	// on, in bytes, so that one that breaks off can still be replaced.
	maxBuffered = 256 << 10
	// silenceMargin and silenceFactor bound the wait for the first event of a
	// stream that may go on elsewhere: the queue at an upstream is held below
	// its target, so one that took half as long again, and the time of some
	// lost packets, is stuck. Callers leave at four times the target.
	silenceFactor = 1.5
	silenceMargin = 700 * time.Millisecond
	// pauseFactor and pauseMargin do the same for pauses between events.
	pauseFactor = 2.0
	pauseMargin = 400 * time.Millisecond
	// plainSilence is the part of the target after which a repeatable plain
	// request is tried elsewhere; usual work takes a fifth of it.
	plainSilence = 1.5
)

// failure is an attempt that brought no answer to pass on.
type failure struct {
	reason retry.Reason
	// sent is true when a byte may have left; notRun when the request certainly
	// wasn't and won't be run by this attempt.
	sent   bool
	notRun bool
	// final failures can't be repeated.
	final      bool
	retryAfter time.Duration
	// answer is an error that the upstream answered with, to be passed on if
	// the request isn't repeated.
	answer *whole
	cause  error
}

func (f *failure) outcome() refusal.Outcome {
	if f.notRun {
		return refusal.NotRun
	}
	return refusal.Unknown
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the upstream of a ticket. It returns nil once
// the answer has been passed on.
func (j *job) attempt(ctx context.Context, ticket home.Ticket) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.sends++
	j.ticket = ticket
	j.sent = time.Now()
	j.tried = append(j.tried, turn.InstanceOf(ticket.Upstream()))
	watch := newWatch(ctx, cancel, j.silenceLimit(), j.findOther(), j.handler.Guard)
	defer func() { j.next, j.silence = watch.stop() }()

	answer, err := j.send(ctx, ticket, &watch.probe)
	if err != nil {
		return j.sendFailure(ctx, ticket, err)
	}
	defer answer.Body.Close()
	verdict := j.handler.Dialect.Verdict(answer.Status, answer.Header)
	if verdict.NotRun {
		ticket.End(time.Now(), turn.Refused)
		_, _ = io.CopyN(io.Discard, answer.Body, maxBuffered) // read so that the connection can be used again
		return &failure{reason: retry.UpstreamRefused, sent: true, notRun: true, retryAfter: retryAfter(answer.Header)}
	}
	j.runs++
	if isFalse(answer.Status, verdict) {
		f := &failure{reason: retry.BrokenBefore, sent: true, cause: errFalse}
		ticket.End(time.Now(), turn.Failed)
		return f
	}
	if j.isStream(answer) {
		return j.relay(ctx, ticket, answer, watch)
	}
	return j.readWhole(ctx, ticket, answer, watch)
}

// isFalse reports whether an answer can't be an upstream's own: a success
// without its signature, or a status that promises "not run" without its word.
func isFalse(status int, verdict Verdict) bool {
	return promises(status) || (status >= 200 && status < 300 && !verdict.Genuine)
}

func (j *job) isStream(answer *upstream.Answer) bool {
	return j.route.Kind == route.Streaming && answer.Status == http.StatusOK
}

func (j *job) send(ctx context.Context, ticket home.Ticket, probe *upstream.Probe) (*upstream.Answer, error) {
	to := ticket.Upstream()
	passing := Passing{Left: time.Until(j.deadline), Account: j.account, Upstream: to, FetchFrom: ticket.FetchFrom()}
	if j.begun && j.last > 0 {
		passing.After = strconv.FormatUint(j.last, 10)
	}
	j.handler.Dialect.Address(j.header, passing)
	return j.handler.Client.Do(ctx, to.Address, upstream.Request{
		ID: j.intake.ID, Method: j.request.Method, URI: j.request.RequestURI,
		Host: j.request.Host, Header: j.header, Body: j.body, Probe: probe,
	})
}

// sendFailure sorts the failure of an exchange that brought no answer.
func (j *job) sendFailure(ctx context.Context, ticket home.Ticket, err error) *failure {
	f := &failure{reason: retry.BrokenBefore, sent: true, cause: err}
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		f.sent = false
		f.notRun = true
		f.reason = retry.ConnectFailed
	}
	if f.sent {
		j.runs++
	}
	return j.fail(ctx, ticket, f)
}

// fail ends a ticket whose exchange has failed.
func (j *job) fail(ctx context.Context, ticket home.Ticket, f *failure) *failure {
	if f.sent && endedByUpstream(ctx, f.cause) {
		j.noteBroken(ticket)
	}
	ticket.End(time.Now(), j.judge(ctx, f))
	return f
}

// judge returns what a failure says about the upstream.
func (j *job) judge(ctx context.Context, f *failure) turn.Outcome {
	cause := context.Cause(ctx)
	var sink *stream.SinkError
	switch {
	case errors.As(f.cause, &sink):
		return turn.Left
	case errors.Is(cause, errSilent):
		return turn.Failed
	case errors.Is(cause, errDeadline) && j.sends > 0 && time.Since(j.arrived) > j.route.Target:
		return turn.Failed
	case cause != nil:
		return turn.Left
	case !f.sent:
		return turn.Unreachable
	}
	return turn.Failed
}

// silenceLimit returns how long the upstream may be silent before its first event;
// zero when there is nothing better to do than to wait.
func (j *job) silenceLimit() time.Duration {
	switch {
	case !j.route.Idempotent() || j.runs+1 >= j.route.Attempts || j.sends+1 >= maxSends:
		return 0
	case j.route.Kind == route.Streaming:
		return time.Duration(silenceFactor*float64(j.route.Target)) + silenceMargin
	default:
		return time.Duration(plainSilence * float64(j.route.Target))
	}
}

// readWhole reads an answer that isn't a stream and passes it on.
func (j *job) readWhole(ctx context.Context, ticket home.Ticket, answer *upstream.Answer, watch *watch) *failure {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	if err != nil {
		return j.fail(ctx, ticket, &failure{reason: retry.BrokenBefore, sent: true, cause: err})
	}
	ticket.First(time.Now())
	w := &whole{status: answer.Status, header: answer.Header, body: body}
	if len(body) > maxBuffered {
		if !watch.keep() {
			ticket.End(time.Now(), turn.Failed)
			return &failure{reason: retry.BrokenBefore, sent: true, cause: errSilent}
		}
		return j.passLong(ctx, ticket, w, answer)
	}
	if answer.Status >= http.StatusInternalServerError {
		j.noteServed()
		ticket.End(time.Now(), turn.Failed)
		return &failure{reason: retry.AnsweredError, sent: true, answer: w}
	}
	ticket.End(time.Now(), turn.Served)
	if j.begun {
		return &failure{reason: retry.StreamBroken, sent: true, final: true, cause: errNotResumed}
	}
	j.pass(w)
	return nil
}

// passLong passes on an answer that is too long to be kept.
func (j *job) passLong(ctx context.Context, ticket home.Ticket, w *whole, answer *upstream.Answer) *failure {
	if j.begun {
		return &failure{reason: retry.StreamBroken, sent: true, final: true, cause: errNotResumed}
	}
	j.begin(w.status, w.header, answer.Length)
	_, _ = j.writer.Write(w.body) // a caller that left ends ctx
	_, err := io.Copy(j.writer, answer.Body)
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
