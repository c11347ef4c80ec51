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

// vmListTimeout limits one read of the VM list.
const vmListTimeout = 2 * time.Second

// pollVMList reads the platform's VM list at intervals until ctx ends or the
// returned function is called. A failed read changes nothing.
func (s *Scheduler) pollVMList(ctx context.Context) (stop func()) {
	if s.vms == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			s.readVMList(ctx)
			interval := make(chan time.Duration, 1)
			if !s.loop.Post(func() { interval <- s.members.PollInterval(rand.Float64()) }) {
				return
			}
			s.sleep(ctx, <-interval)
		}
	}()
	return cancel
}

func (s *Scheduler) sleep(ctx context.Context, duration time.Duration) {
	elapsed := make(chan struct{})
	subscription := s.timer.After(duration, func(time.Time) { close(elapsed) })
	defer subscription.Cancel()
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}

func (s *Scheduler) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := s.vms.List(ctx)
	if err != nil {
		s.logger.Debug("the platform's VM list is not available", "error", err)
		return
	}
	s.loop.Post(func() { s.applyVMList(vms) })
}

// applyVMList updates the members and the leaving upstreams from the platform's VM list.
func (s *Scheduler) applyVMList(vms []store.VM) {
	now := s.timer.Now()
	var routers []membership.ListedRouter
	leaving := make(map[fleet.UpstreamID]bool)
	for _, vm := range vms {
		switch vm.Role {
		case store.RouterVM:
			routers = append(routers, membership.ListedRouter{ID: fleet.RouterID(vm.Name), Address: vm.Address, Leaving: vm.Leaving})
		case store.UpstreamVM:
			if vm.Leaving {
				leaving[fleet.UpstreamID(vm.Name)] = true
			}
		}
	}
	s.members.SetList(now, routers)
	if !maps.Equal(leaving, s.leavingInList) {
		s.leavingInList = leaving
		s.assignmentStale = true
	}
	s.refreshAssignment(now)
}

// isLeaving reports whether an upstream is marked as leaving in the release note
// or in the platform's VM list.
func (s *Scheduler) isLeaving(u *schema.Upstream) bool {
	return u.GetLeaving() || s.leavingInList[fleet.UpstreamID(u.GetId())]
}

// updatePeerTargets sets the routers that the transport connects to.
func (s *Scheduler) updatePeerTargets() {
	if s.peers != nil {
		s.peers.SetTargets(s.members.Addresses())
	}
}
