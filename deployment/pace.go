package deployment

import (
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/turn"
)

// followPace logs the changes of a pool's upstreams between slow and usual, and has its waiting requests tried again
// while an upstream is slow.
func (s *State) followPace(pool *turn.Pool) *turn.Pool {
	pool.OnPaceChange = s.logPaceChange
	pool.ScheduleRecheck = func(after time.Duration) {
		time.AfterFunc(after, func() { s.options.Guard.RunControl(func() { pool.Recheck(time.Now()) }) })
	}
	return pool
}

func (s *State) logPaceChange(c turn.PaceChange) {
	u, message := c.Upstream, "upstream is slow"
	if c.Change == pace.TurnedUsual {
		message = "upstream works as usual again"
	}
	s.options.Log.Info(message, "upstream", u.ID, "service", u.Service, "address", u.Address, "life", u.StartTime,
		"duration-percent", c.Stated.Percent())
}

// withSlowdowns updates the metrics of the upstreams' slowdowns before each reading.
func (r *Router) withSlowdowns(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		for service, pool := range r.state.Pools() {
			r.metrics.SetSlowdowns(string(service), pool.Slowdowns(time.Now()))
		}
		handler.ServeHTTP(w, request)
	})
}
