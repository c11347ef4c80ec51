package scheduler

import (
	"context"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
)

// State is what an operator sees of a scheduler.
type State struct {
	Version   fleet.Version
	Routers   []RouterState
	Upstreams []UpstreamState
	Queues    []QueueState
	// InFlight is how many requests of this router each account has at upstreams.
	InFlight map[fleet.AccountID]int
	// Kept is how many accounts this router sums the service of.
	Kept int
}

// RouterState is what is known of one router.
type RouterState struct {
	ID          fleet.RouterID
	Connected   bool
	Dispatches  bool
	Leaving     bool
	Incarnation fleet.Incarnation
	DataCenter  fleet.DataCenterID
	Address     string
}

// UpstreamState is what is known of one upstream.
type UpstreamState struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Dispatcher fleet.RouterID
	// Here is how many requests of this router are in flight there.
	Here int
	// InFlight and Limit are those of all routers, known to the dispatcher only.
	InFlight int
	Limit    int
	Leaving  bool
}

// QueueState is what waits here of one account for one service.
type QueueState struct {
	Account fleet.AccountID
	Service fleet.ServiceID
	Waiting int
	// Drain is the requests started per second while some waited; zero when unknown.
	Drain float64
	Asked []fleet.RouterID
}

// State returns what the control goroutine knows now.
func (s *Scheduler) State(ctx context.Context) (State, error) {
	result := make(chan State, 1)
	if !s.loop.Post(func() { result <- s.state() }) {
		return State{}, eris.New("the scheduler has ended")
	}
	select {
	case state := <-result:
		return state, nil
	case <-ctx.Done():
		return State{}, eris.Wrap(ctx.Err(), "scheduler state")
	}
}

func (s *Scheduler) state() State {
	state := State{Kept: s.keeper.Len()}
	now := s.timer.Now()
	for _, m := range s.members.All(now) {
		r := s.routers[m.ID]
		rs := RouterState{ID: m.ID, Connected: m.ID == s.self, Dispatches: m.Dispatches, Leaving: m.Leaving}
		if r != nil {
			rs.Connected, rs.Incarnation = r.connected, r.incarnation
			rs.DataCenter, rs.Address = r.dataCenter, r.address
		}
		state.Routers = append(state.Routers, rs)
	}
	if s.view == nil {
		return state
	}
	state.Version = s.view.Version()
	state.InFlight = make(map[fleet.AccountID]int)
	here := make(map[fleet.Number]int)
	for _, h := range s.entry.holds {
		here[h.upstream]++
		if account := s.view.AccountByNumber(h.account); account != nil {
			state.InFlight[fleet.AccountID(account.GetId())]++
		}
	}
	for _, u := range s.view.State().GetUpstreams() {
		number := fleet.Number(u.GetNumber())
		inFlight, _ := s.slots.InFlight(number)
		state.Upstreams = append(state.Upstreams, UpstreamState{
			ID: fleet.UpstreamID(u.GetId()), Service: fleet.ServiceID(u.GetService()),
			Dispatcher: s.assigned.dispatchers[number], Here: here[number],
			InFlight: inFlight, Limit: s.slots.Limit(now, number), Leaving: u.GetLeaving() || s.departing[fleet.UpstreamID(u.GetId())],
		})
	}
	for _, q := range s.entry.queues {
		state.Queues = append(state.Queues, QueueState{
			Account: fleet.AccountID(q.account.GetId()), Service: fleet.ServiceID(q.service.GetId()),
			Waiting: s.entry.line.Len(q.key), Drain: q.drain.Rate(now), Asked: q.targets,
		})
	}
	return state
}

// gauges brings the gauges up to date.
func (s *Scheduler) gauges() {
	if s.metrics == nil || s.view == nil {
		return
	}
	waiting, inFlight := make(map[string]int), make(map[string]int)
	for _, q := range s.entry.queues {
		waiting[q.service.GetId()] += s.entry.line.Len(q.key)
	}
	for _, h := range s.entry.holds {
		inFlight[h.service.GetId()]++
	}
	for _, service := range s.view.State().GetServices() {
		s.metrics.Waiting.WithLabelValues(service.GetId()).Set(float64(waiting[service.GetId()]))
		s.metrics.InFlight.WithLabelValues(service.GetId()).Set(float64(inFlight[service.GetId()]))
	}
	s.metrics.Routers.Set(float64(1 + len(s.connected())))
}
