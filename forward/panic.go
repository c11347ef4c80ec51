package forward

import (
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/turn"
)

// requestOf is the id of a job's request, which is read once it is logged.
type requestOf struct{ job *job }

// LogValue returns the id.
func (r requestOf) LogValue() slog.Value { return slog.StringValue(string(r.job.intake.ID)) }

// handle admits the request and serves it.
func (j *job) handle() error {
	if err := j.admit(); err != nil {
		j.refuse(err)
		return nil
	}
	j.serve()
	return nil
}

// panicked ends a request whose handling has panicked. Its place at the upstream is free again,
// and its caller is told as much as is known for sure.
func (j *job) panicked(cause error) {
	if j.ticket != nil {
		j.ticket.End(time.Now(), turn.Left)
	}
	outcome := refusal.NotRun
	if j.sends > 0 {
		outcome = refusal.Unknown
	}
	j.refuse(&refusal.Error{Reason: refusal.Internal, Outcome: outcome, Detail: "this router failed to handle the request", Cause: cause})
}
