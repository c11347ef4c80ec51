package scheduler

import (
	"context"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
)

// State is a snapshot of a scheduler for operators.
type State struct {
	Version   fleet.Version
	Routers   []RouterState
	Upstreams []UpstreamState
	Queues    []QueueState
	// InFlight is the number of this router's requests in flight, by account.
	InFlight map[fleet.AccountID]int
	// TrackedAccounts is the number of accounts whose service this router's keeper sums.
	TrackedAccounts int
}

// RouterState is this router's view of one router.
type RouterState struct {
	ID          fleet.RouterID
	Connected   bool
	Dispatches  bool
	Leaving     bool
	Incarnation fleet.Incarnation
	DataCenter  fleet.DataCenterID
	Address     string
}

// UpstreamState is this router's view of one upstream.
type UpstreamState struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Dispatcher fleet.RouterID
	// LocalInFlight is the number of this router's requests in flight at the upstream.
	LocalInFlight int
	// InFlight and Limit cover all routers; only the upstream's dispatcher knows them.
	InFlight int
	Limit    int
	Leaving  bool
}

// QueueState describes the requests of one account that wait here for one service.
type QueueState struct {
	Account fleet.AccountID
	Service fleet.ServiceID
	Waiting int
	// DrainRate is the number of requests started per second while some waited; zero if
	// it is unknown.
	DrainRate float64
	// Dispatchers are the routers that were asked for slots.
	Dispatchers []fleet.RouterID
}

// State returns a snapshot taken on the control goroutine.
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
	state := State{TrackedAccounts: s.keeper.Len()}
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
	local := make(map[fleet.ShortID]int)
	for _, h := range s.local.heldSlots {
		local[h.upstream]++
		if account := s.view.AccountByNumber(h.account); account != nil {
			state.InFlight[fleet.AccountID(account.GetId())]++
		}
	}
	for _, u := range s.view.State().GetUpstreams() {
		number := fleet.ShortID(u.GetNumber())
		inFlight, _ := s.dispatcher.InFlight(number)
		state.Upstreams = append(state.Upstreams, UpstreamState{
			ID: fleet.UpstreamID(u.GetId()), Service: fleet.ServiceID(u.GetService()),
			Dispatcher: s.assignment.dispatchers[number], LocalInFlight: local[number],
			InFlight: inFlight, Limit: s.dispatcher.Limit(now, number), Leaving: u.GetLeaving() || s.leavingInList[fleet.UpstreamID(u.GetId())],
		})
	}
	for _, q := range s.local.queues {
		state.Queues = append(state.Queues, QueueState{
			Account: fleet.AccountID(q.account.GetId()), Service: fleet.ServiceID(q.service.GetId()),
			Waiting: s.local.waiting.Len(q.key), DrainRate: q.drainMeter.Rate(now), Dispatchers: q.askedDispatchers,
		})
	}
	return state
}

// updateGauges sets the metrics of waiting requests, requests in flight and routers.
func (s *Scheduler) updateGauges() {
	if s.metrics == nil || s.view == nil {
		return
	}
	waiting, inFlight := make(map[string]int), make(map[string]int)
	for _, q := range s.local.queues {
		waiting[q.service.GetId()] += s.local.waiting.Len(q.key)
	}
	for _, h := range s.local.heldSlots {
		inFlight[h.service.GetId()]++
	}
	for _, service := range s.view.State().GetServices() {
		s.metrics.Waiting.WithLabelValues(service.GetId()).Set(float64(waiting[service.GetId()]))
		s.metrics.InFlight.WithLabelValues(service.GetId()).Set(float64(inFlight[service.GetId()]))
	}
	s.metrics.Routers.Set(float64(1 + len(s.connectedRouters())))
}
