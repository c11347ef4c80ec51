package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
)

// assignment says which router dispatches each upstream, as far as this
// router knows. Others may believe otherwise for a while.
type assignment struct {
	live        []fleet.RouterID
	version     fleet.Version
	dispatchers map[fleet.Number]fleet.RouterID
	// byService lists the routers that dispatch upstreams of a service that
	// take new work, once for each upstream.
	byService map[fleet.Number][]target
	services  map[fleet.ServiceID]fleet.Number
	// own are the services of which this router dispatches an upstream.
	own map[fleet.Number]bool
	// denied is set when a router was left out of a service.
	denied bool
	// epoch grows with each change.
	epoch uint64
}

// target is an upstream that takes new work, and its dispatcher.
type target struct {
	upstream fleet.Number
	router   fleet.RouterID
}

// dispatcherKey returns what the dispatcher of an upstream is chosen by.
func dispatcherKey(upstream fleet.Number) rendezvous.Key {
	return rendezvous.KeyOfNumber("dispatcher", uint64(upstream))
}

// refresh brings the assignment up to the view in force and the live routers.
func (s *Scheduler) refresh(now time.Time) {
	view := s.notes.Current()
	live := s.members.Dispatchers(now)
	if view == nil || (view == s.view && !s.stale && slices.Equal(live, s.assigned.live)) {
		return
	}
	s.stale = false
	before := s.assigned
	if !slices.Equal(live, before.live) {
		// What others denied they denied by the former view.
		s.denials = newDenials()
	}
	first := s.view == nil
	s.forgetWithdrawn(view)
	s.view = view
	s.assigned = s.assign(view, live, before)
	s.drains.forget(func(upstream fleet.Number, by fleet.RouterID) bool { return s.assigned.dispatchers[upstream] != by })
	s.own(now)
	s.announceMoved(before)
	s.exchange.reassign(s)
	s.entry.reassigned(s, now)
	if first {
		// The others left this router out until it could dispatch.
		for _, id := range s.connected() {
			s.sendComplete(now, id)
		}
	}
}

func (s *Scheduler) forgetWithdrawn(view *note.View) {
	if s.view == nil || s.view == view {
		return
	}
	for _, a := range s.view.State().GetAccounts() {
		number := fleet.Number(a.GetNumber())
		if view.AccountByNumber(number) == nil {
			s.slots.Forget(number)
			s.exchange.forget(number)
		}
	}
}

func (s *Scheduler) assign(view *note.View, live []fleet.RouterID, before assignment) assignment {
	a := assignment{
		live: live, version: view.Version(), epoch: before.epoch + 1,
		dispatchers: make(map[fleet.Number]fleet.RouterID, len(view.State().GetUpstreams())),
		byService:   make(map[fleet.Number][]target),
		services:    make(map[fleet.ServiceID]fleet.Number, len(view.State().GetServices())),
		own:         make(map[fleet.Number]bool),
	}
	for _, service := range view.State().GetServices() {
		a.services[fleet.ServiceID(service.GetId())] = fleet.Number(service.GetNumber())
	}
	pick := s.picker(live, before, a.services)
	a.denied = s.denials.any()
	for _, u := range view.State().GetUpstreams() {
		number := fleet.Number(u.GetNumber())
		router := s.self
		if s.sharing != StaticShare {
			router = pick(u)
		}
		a.dispatchers[number] = router
		service := a.services[fleet.ServiceID(u.GetService())]
		a.own[service] = a.own[service] || router == s.self
		if !s.departs(u) && !s.drainsAt(number, router) {
			a.byService[service] = append(a.byService[service], target{number, router})
		}
	}
	return a
}

// picker returns a function that chooses the dispatcher of an upstream. It
// looks only at the routers that came when the former one is still alive: at
// the target size a full comparison takes 5.5 million hashes for each change.
func (s *Scheduler) picker(live []fleet.RouterID, before assignment, services map[fleet.ServiceID]fleet.Number) func(*schema.Upstream) fleet.RouterID {
	var came []fleet.RouterID
	for _, router := range live {
		if !slices.Contains(before.live, router) {
			came = append(came, router)
		}
	}
	alive := make(map[fleet.RouterID]bool, len(live))
	for _, router := range live {
		alive[router] = true
	}
	return func(u *schema.Upstream) fleet.RouterID {
		upstream := fleet.Number(u.GetNumber())
		if service := services[fleet.ServiceID(u.GetService())]; s.denials.of(service) {
			return cmp.Or(rendezvous.Pick(dispatcherKey(upstream), s.denials.without(service, live)), s.self)
		}
		former := before.dispatchers[upstream]
		if !alive[former] || before.denied {
			return rendezvous.Pick(dispatcherKey(upstream), live)
		}
		if len(came) == 0 {
			return former
		}
		return rendezvous.Pick(dispatcherKey(upstream), append(came[:len(came):len(came)], former))
	}
}

// own tells this router's dispatcher which upstreams are its own.
func (s *Scheduler) own(now time.Time) {
	var owned []*schema.Upstream
	for _, u := range s.view.State().GetUpstreams() {
		if s.assigned.dispatchers[fleet.Number(u.GetNumber())] != s.self {
			continue
		}
		if u = s.shareOf(u); u != nil {
			owned = append(owned, u)
		}
	}
	others := s.sharing != StaticShare && len(s.connected()) > 0
	s.slots.Own(now, owned, s.assigned.services, others)
	s.poller.watch(owned)
}

// shareOf returns the upstream with the slots that this router may use: all
// of them, or with static shares the part that falls to it, nil when none does.
func (s *Scheduler) shareOf(u *schema.Upstream) *schema.Upstream {
	if s.departs(u) && !u.GetLeaving() {
		u = proto.CloneOf(u)
		u.Leaving = true
	}
	if s.sharing != StaticShare {
		return u
	}
	n := uint32(max(1, len(s.assigned.live)))
	i := uint32(max(0, slices.Index(s.assigned.live, s.self)))
	// The remainder starts at another router for each upstream, or the first
	// routers would get the odd slots of all.
	i = (i + u.GetNumber()) % n
	part := u.GetSlots()*(i+1)/n - u.GetSlots()*i/n
	if part == 0 {
		return nil
	}
	clone := proto.CloneOf(u)
	clone.Slots = part
	return clone
}

// connected returns the other routers that this one is connected to.
func (s *Scheduler) connected() []fleet.RouterID {
	var ids []fleet.RouterID
	for id, r := range s.routers {
		if r.connected {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// keeperOf returns the router that sums an account's use of a service.
func (a *assignment) keeperOf(service, account fleet.Number) fleet.RouterID {
	return rendezvous.Pick(rendezvous.KeyOfNumber("keeper", uint64(service)<<32|uint64(account)), a.live)
}

func nonceOf(self fleet.RouterID, incarnation fleet.Incarnation) uint16 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(self))
	_, _ = digest.WriteString(strconv.FormatInt(int64(incarnation), 10))
	return uint16(digest.Sum64())
}
