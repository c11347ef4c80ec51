package daemon

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/scheduler"
	"nutmeglock.example/nutmeglock/schema"
)

// stateTimeout limits the wait for the scheduler's control goroutine.
const stateTimeout = time.Second

// States of routers and upstreams in the administration API.
const (
	stateReady       = "ready"
	stateStarting    = "starting"
	stateStopping    = "stopping"
	stateUnreachable = "unreachable"
	stateLive        = "live"
	stateLeaving     = "leaving"
)

// stateReporter implements operator.State.
type stateReporter struct {
	parts     *Parts
	scheduler *scheduler.Scheduler
}

func (s *stateReporter) Ready() string {
	switch {
	case s.parts.Stopping.Load():
		return "the router is shutting down"
	case !s.parts.Notes.Ready():
		return "the router holds no release note yet"
	}
	return ""
}

func (s *stateReporter) snapshot() scheduler.State {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	// After the scheduler has ended, State fails and the snapshot is empty.
	snapshot, _ := s.scheduler.State(ctx)
	return snapshot
}

func (s *stateReporter) Router() *schema.RouterState { return s.selfState(s.snapshot()) }

func (s *stateReporter) selfState(snapshot scheduler.State) *schema.RouterState {
	state := &schema.RouterState{
		Id: string(s.parts.Self), DataCenter: s.parts.Settings.GetDataCenter(),
		Address: s.parts.Listeners.Peers.Addr().String(), State: s.selfStateName(),
		NoteVersion: uint64(s.parts.Notes.Version()), Self: true, StartedUnixMs: int64(s.parts.Incarnation),
	}
	for _, queue := range snapshot.Queues {
		state.Waiting += uint32(queue.Waiting)
	}
	for _, upstream := range snapshot.Upstreams {
		state.InFlight += uint32(upstream.LocalInFlight)
	}
	return state
}

func (s *stateReporter) selfStateName() string {
	switch {
	case s.parts.Stopping.Load():
		return stateStopping
	case !s.parts.Notes.Ready():
		return stateStarting
	}
	return stateReady
}

func (s *stateReporter) Routers() []*schema.RouterState {
	snapshot := s.snapshot()
	self := s.selfState(snapshot)
	routers := []*schema.RouterState{self}
	for _, r := range snapshot.Routers {
		if r.ID == s.parts.Self {
			self.Dispatches = r.Dispatches
			continue
		}
		routers = append(routers, &schema.RouterState{
			Id: string(r.ID), State: peerStateName(r), StartedUnixMs: int64(r.Incarnation),
			DataCenter: string(r.DataCenter), Address: r.Address,
			NoteVersion: uint64(s.parts.Notes.PeerVersion(r.ID)), Dispatches: r.Dispatches,
		})
	}
	return routers
}

func peerStateName(r scheduler.RouterState) string {
	switch {
	case r.Leaving:
		return stateStopping
	case !r.Connected:
		return stateUnreachable
	}
	return stateReady
}

func (s *stateReporter) Accounts() map[fleet.AccountID]*schema.AccountLoad {
	loads := make(map[fleet.AccountID]*schema.AccountLoad)
	loadOf := func(id fleet.AccountID) *schema.AccountLoad {
		if loads[id] == nil {
			loads[id] = &schema.AccountLoad{}
		}
		return loads[id]
	}
	snapshot := s.snapshot()
	for _, queue := range snapshot.Queues {
		loadOf(queue.Account).Waiting += uint32(queue.Waiting)
	}
	for id, count := range snapshot.InFlight {
		loadOf(id).InFlight = uint32(count)
	}
	for id, served := range s.parts.Metrics.ServiceTokensByAccount() {
		loadOf(fleet.AccountID(id)).Service = int64(served)
	}
	return loads
}

func (s *stateReporter) Upstreams() map[fleet.UpstreamID]*schema.UpstreamLoad {
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
