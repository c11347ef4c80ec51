package forward

import (
	"time"

	"nutmeglock.example/nutmeglock/registry"
)

// recordStatements records what an answer states about further requests to its upstream.
func (j *job) recordStatements(u registry.Upstream, status int, info AnswerInfo) {
	avoidance := j.handler.Avoidance
	if avoidance == nil {
		return
	}
	isForeign := isSuccess(status) && !info.Signed // not from the upstream itself
	if info.Leaving && !isForeign {
		avoidance.RecordLeaving(time.Now(), u, j.info.ID)
	}
	if info.Backoff > 0 {
		avoidance.RecordBackoff(time.Now(), u, info.Backoff, j.info.ID)
	}
}

// recordAvoided logs a request that is sent to an upstream which wants none.
func (j *job) recordAvoided(u registry.Upstream) {
	if j.handler.Avoidance == nil {
		return
	}
	now := time.Now()
	if term, avoided := j.handler.Avoidance.Avoided(now, u); avoided {
		j.handler.Log.Warn("request sent to an avoided upstream", "request", j.info.ID, "upstream", u.ID, "life", u.StartTime,
			"why", term.Reason, "since-ms", ms(now.Sub(term.Since)), "left-ms", ms(term.Left(now)), "attempt", j.sends, "age-ms", ms(now.Sub(j.arrived)))
	}
}
