package forward

import (
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/turn"
)

// requestIDValue is a slog.LogValuer of a job's request id, which isn't known yet when the job
// starts.
type requestIDValue struct{ job *job }

// LogValue returns the id.
func (r requestIDValue) LogValue() slog.Value { return r.job.info.ID.LogValue() }

// handle admits the request and serves it.
func (j *job) handle() error {
	if err := j.admit(); err != nil {
		j.refuse(err)
		return nil
	}
	if !j.isHandedOver {
		j.serve()
	}
	return nil
}

// panicked ends a request whose handling has panicked: it frees the slot at the upstream and
// refuses the request, as not run only if it was never sent.
func (j *job) panicked(cause error) {
	if j.ticket != nil {
		j.ticket.End(time.Now(), turn.Abandoned)
	}
	outcome := refusal.NotRun
	if j.sends > 0 {
		outcome = refusal.Unknown
	}
	j.refuse(&refusal.Error{Reason: refusal.Internal, Outcome: outcome, Detail: "this router failed to handle the request", Cause: cause})
}
