package forward

import (
	"time"

	"nutmeglock.example/nutmeglock/home"
)

// recordLoad records what an answer states about the load of the upstream whose turn the request has. That is the process that
// the turn was granted at, so nothing is carried over to one that takes its place.
func (j *job) recordLoad(ticket home.Ticket, info AnswerInfo) {
	if info.LoadRejection != "" {
		j.handler.Metrics.RejectedLoads.WithLabelValues(string(info.LoadRejection)).Inc()
	}
	if info.Load.Slowdown == 0 {
		return // routers count the requests that they send
	}
	j.handler.Metrics.StatedSlowdown.Observe(float64(info.Load.Slowdown))
	ticket.RecordLoad(time.Now(), info.Load)
}
