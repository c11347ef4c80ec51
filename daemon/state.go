package daemon

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/scheduler"
	"nutmeglock.example/nutmeglock/schema"
)

// stateTimeout bounds the wait for the control goroutine.
const stateTimeout = time.Second

// The states of routers and upstreams in the administration API.
const (
	stateReady       = "ready"
	stateStarting    = "starting"
	stateStopping    = "stopping"
	stateUnreachable = "unreachable"
	stateLive        = "live"
	stateLeaving     = "leaving"
)

// state implements operator.State.
type state struct {
	parts     *Parts
	scheduler *scheduler.Scheduler
}

func (s *state) Ready() string {
	switch {
	case s.parts.Stopping.Load():
		return "the router is shutting down"
	case !s.parts.Notes.Ready():
		return "the router holds no release note yet"
	}
	return ""
}

func (s *state) snapshot() scheduler.State {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	// A scheduler that has ended knows nothing, which is what is shown.
	snapshot, _ := s.scheduler.State(ctx)
	return snapshot
}

func (s *state) Router() *schema.RouterState { return s.self(s.snapshot()) }

func (s *state) self(snapshot scheduler.State) *schema.RouterState {
	r := &schema.RouterState{
		Id: string(s.parts.Self), DataCenter: s.parts.Settings.GetDataCenter(),
		Address: s.parts.Listeners.Peers.Addr().String(), State: s.ownState(),
		NoteVersion: uint64(s.parts.Notes.Version()), Self: true, StartedUnixMs: int64(s.parts.Incarnation),
	}
	for _, queue := range snapshot.Queues {
		r.Waiting += uint32(queue.Waiting)
	}
	for _, upstream := range snapshot.Upstreams {
		r.InFlight += uint32(upstream.Here)
	}
	return r
}

func (s *state) ownState() string {
	switch {
	case s.parts.Stopping.Load():
		return stateStopping
	case !s.parts.Notes.Ready():
		return stateStarting
	}
	return stateReady
}

func (s *state) Routers() []*schema.RouterState {
	snapshot := s.snapshot()
	self := s.self(snapshot)
	routers := []*schema.RouterState{self}
	for _, r := range snapshot.Routers {
		if r.ID == s.parts.Self {
			self.Dispatches = r.Dispatches
			continue
		}
		routers = append(routers, &schema.RouterState{
			Id: string(r.ID), State: routerState(r), StartedUnixMs: int64(r.Incarnation),
			DataCenter: string(r.DataCenter), Address: r.Address,
			NoteVersion: uint64(s.parts.Notes.PeerVersion(r.ID)), Dispatches: r.Dispatches,
		})
	}
	return routers
}

func routerState(r scheduler.RouterState) string {
	switch {
	case r.Leaving:
		return stateStopping
	case !r.Connected:
		return stateUnreachable
	}
	return stateReady
}

func (s *state) Accounts() map[fleet.AccountID]*schema.AccountLoad {
	loads := make(map[fleet.AccountID]*schema.AccountLoad)
	of := func(id fleet.AccountID) *schema.AccountLoad {
		if loads[id] == nil {
			loads[id] = &schema.AccountLoad{}
		}
		return loads[id]
	}
	snapshot := s.snapshot()
	for _, queue := range snapshot.Queues {
		of(queue.Account).Waiting += uint32(queue.Waiting)
	}
	for id, count := range snapshot.InFlight {
		of(id).InFlight = uint32(count)
	}
	for id, served := range s.parts.Metrics.ServiceByAccount() {
		of(fleet.AccountID(id)).Service = int64(served)
	}
	return loads
}

func (s *state) Upstreams() map[fleet.UpstreamID]*schema.UpstreamLoad {
	loads := make(map[fleet.UpstreamID]*schema.UpstreamLoad)
	for _, u := range s.snapshot().Upstreams {
		load := &schema.UpstreamLoad{
			State: stateLive, Dispatcher: string(u.Dispatcher),
			InFlight: uint32(u.InFlight), Limit: uint32(u.Limit),
		}
		if u.Leaving {
			load.State = stateLeaving
		}
		loads[u.ID] = load
	}
	return loads
}
