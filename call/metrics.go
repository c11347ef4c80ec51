package call

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

func (r *Runner) countServiceTokens(request *Request, cost fleet.Tokens) {
	if r.Metrics != nil {
		r.Metrics.ServiceTokens.WithLabelValues(request.Account.GetId()).Add(float64(cost))
	}
}

func (r *Runner) countFirstByte(request *Request, wait time.Duration) {
	if r.Metrics != nil {
		r.Metrics.FirstByteSeconds.WithLabelValues(request.Service.GetId()).Observe(wait.Seconds())
	}
}
