package scheduler

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/membership"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

// listTimeout bounds one read of the VM list.
const listTimeout = 2 * time.Second

// listVMs reads the platform's list again and again until the returned
// function is called. A read that fails changes nothing.
func (s *Scheduler) listVMs(ctx context.Context) (stop func()) {
	if s.vms == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			s.listOnce(ctx)
			pause := make(chan time.Duration, 1)
			if !s.loop.Post(func() { pause <- s.members.PollInterval(rand.Float64()) }) {
				return
			}
			s.sleep(ctx, <-pause)
		}
	}()
	return cancel
}

func (s *Scheduler) sleep(ctx context.Context, pause time.Duration) {
	over := make(chan struct{})
	subscription := s.timer.After(pause, func(time.Time) { close(over) })
	defer subscription.Cancel()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

func (s *Scheduler) listOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := s.vms.List(ctx)
	if err != nil {
		s.logger.Debug("the platform's VM list is not available", "error", err)
		return
	}
	s.loop.Post(func() { s.listed(vms) })
}

// listed takes the platform's list.
func (s *Scheduler) listed(vms []store.VM) {
	now := s.timer.Now()
	var routers []membership.Listed
	departing := make(map[fleet.UpstreamID]bool)
	for _, vm := range vms {
		switch vm.Role {
		case store.RouterVM:
			routers = append(routers, membership.Listed{ID: fleet.RouterID(vm.Name), Address: vm.Address, Leaving: vm.Leaving})
		case store.UpstreamVM:
			if vm.Leaving {
				departing[fleet.UpstreamID(vm.Name)] = true
			}
		}
	}
	s.members.List(now, routers)
	if !maps.Equal(departing, s.departing) {
		s.departing = departing
		s.stale = true
	}
	s.refresh(now)
}

// departs reports whether an upstream takes no new work, by the release note
// or by the platform's list.
func (s *Scheduler) departs(u *schema.Upstream) bool {
	return u.GetLeaving() || s.departing[fleet.UpstreamID(u.GetId())]
}

// connect tells the transport which routers to connect to.
func (s *Scheduler) connect() {
	if s.peers != nil {
		s.peers.Target(s.members.Targets())
	}
}
