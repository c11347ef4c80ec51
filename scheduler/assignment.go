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

// assignment maps upstreams to their dispatchers in this router's view. The views
// of other routers may differ for a while.
type assignment struct {
	liveRouters []fleet.RouterID
	version     fleet.Version
	dispatchers map[fleet.ShortID]fleet.RouterID
	// available lists, for each service, its upstreams that accept new requests.
	available      map[fleet.ShortID][]availableUpstream
	serviceNumbers map[fleet.ServiceID]fleet.ShortID
	// ownServices are the services of the upstreams that this router dispatches.
	ownServices map[fleet.ShortID]bool
	// hasDenials is set if any router was excluded from a service after denials.
	hasDenials bool
	// epoch is incremented with each change.
	epoch uint64
}

// availableUpstream is an upstream that accepts new requests, and its dispatcher.
type availableUpstream struct {
	number     fleet.ShortID
	dispatcher fleet.RouterID
}

// dispatcherKey returns the rendezvous key that selects an upstream's dispatcher.
func dispatcherKey(upstream fleet.ShortID) rendezvous.Key {
	return rendezvous.KeyOfNumber("dispatcher", uint64(upstream))
}

// refreshAssignment recomputes the assignment if the view, the live routers or the
// inputs marked by assignmentStale have changed.
func (s *Scheduler) refreshAssignment(now time.Time) {
	view := s.notes.Current()
	live := s.members.Dispatchers(now)
	if view == nil || (view == s.view && !s.assignmentStale && slices.Equal(live, s.assignment.liveRouters)) {
		return
	}
	s.assignmentStale = false
	before := s.assignment
	if !slices.Equal(live, before.liveRouters) {
		// The denials refer to the former live routers.
		s.denials = newDenials()
	}
	isFirst := s.view == nil
	s.forgetWithdrawnAccounts(view)
	s.view = view
	s.assignment = s.computeAssignment(view, live, before)
	s.drainReports.removeIf(func(report drainReport) bool { return view.UpstreamByNumber(report.upstream) == nil })
	s.updateOwned(now)
	s.announceReassigned(before)
	s.exchange.updateKeepers(s)
	s.local.applyAssignment(s, now)
	if isFirst {
		// The other routers have excluded this one so far; the batch reports that it can dispatch now.
		for _, id := range s.connectedRouters() {
			s.sendComplete(now, id)
		}
	}
}

func (s *Scheduler) forgetWithdrawnAccounts(view *note.View) {
	if s.view == nil || s.view == view {
		return
	}
	for _, a := range s.view.State().GetAccounts() {
		number := fleet.ShortID(a.GetNumber())
		if view.AccountByNumber(number) == nil {
			s.dispatcher.Forget(number)
			s.exchange.forget(number)
		}
	}
}

func (s *Scheduler) computeAssignment(view *note.View, live []fleet.RouterID, before assignment) assignment {
	a := assignment{
		liveRouters: live, version: view.Version(), epoch: before.epoch + 1,
		dispatchers:    make(map[fleet.ShortID]fleet.RouterID, len(view.State().GetUpstreams())),
		available:      make(map[fleet.ShortID][]availableUpstream),
		serviceNumbers: make(map[fleet.ServiceID]fleet.ShortID, len(view.State().GetServices())),
		ownServices:    make(map[fleet.ShortID]bool),
	}
	for _, service := range view.State().GetServices() {
		a.serviceNumbers[fleet.ServiceID(service.GetId())] = fleet.ShortID(service.GetNumber())
	}
	pickDispatcher := s.dispatcherPicker(live, before, a.serviceNumbers)
	a.hasDenials = s.denials.any()
	for _, u := range view.State().GetUpstreams() {
		number := fleet.ShortID(u.GetNumber())
		router := s.self
		if s.sharing != StaticShare {
			router = pickDispatcher(u)
		}
		a.dispatchers[number] = router
		service := a.serviceNumbers[fleet.ServiceID(u.GetService())]
		a.ownServices[service] = a.ownServices[service] || router == s.self
		if !s.isLeaving(u) && !s.isDraining(number, router) {
			a.available[service] = append(a.available[service], availableUpstream{number, router})
		}
	}
	return a
}

// dispatcherPicker returns a function that selects an upstream's dispatcher. If the
// former one is still live, it is compared only with the routers that joined: at
// the target size a full comparison takes 5.5 million hashes for each change.
func (s *Scheduler) dispatcherPicker(live []fleet.RouterID, before assignment, services map[fleet.ServiceID]fleet.ShortID) func(*schema.Upstream) fleet.RouterID {
	var joined []fleet.RouterID
	for _, router := range live {
		if !slices.Contains(before.liveRouters, router) {
			joined = append(joined, router)
		}
	}
	isLive := make(map[fleet.RouterID]bool, len(live))
	for _, router := range live {
		isLive[router] = true
	}
	return func(u *schema.Upstream) fleet.RouterID {
		upstream := fleet.ShortID(u.GetNumber())
		if service := services[fleet.ServiceID(u.GetService())]; s.denials.affects(service) {
			return cmp.Or(rendezvous.Pick(dispatcherKey(upstream), s.denials.filter(service, live)), s.self)
		}
		former := before.dispatchers[upstream]
		if !isLive[former] || before.hasDenials {
			return rendezvous.Pick(dispatcherKey(upstream), live)
		}
		if len(joined) == 0 {
			return former
		}
		return rendezvous.Pick(dispatcherKey(upstream), append(joined[:len(joined):len(joined)], former))
	}
}

// updateOwned sets the upstreams of this router's dispatcher and load poller.
func (s *Scheduler) updateOwned(now time.Time) {
	var owned []*schema.Upstream
	for _, u := range s.view.State().GetUpstreams() {
		if s.assignment.dispatchers[fleet.ShortID(u.GetNumber())] != s.self {
			continue
		}
		if u = s.usableShare(u); u != nil {
			owned = append(owned, u)
		}
	}
	others := s.sharing != StaticShare && len(s.connectedRouters()) > 0
	s.dispatcher.SetUpstreams(now, owned, s.assignment.serviceNumbers, others)
	s.loadPoller.setUpstreams(owned)
}

// usableShare returns the upstream with the number of slots that this router may
// use: all, or with StaticShare its part. It returns nil if that part is zero.
func (s *Scheduler) usableShare(u *schema.Upstream) *schema.Upstream {
	if s.isLeaving(u) && !u.GetLeaving() {
		u = proto.CloneOf(u)
		u.Leaving = true
	}
	if s.sharing != StaticShare {
		return u
	}
	n := uint32(max(1, len(s.assignment.liveRouters)))
	i := uint32(max(0, slices.Index(s.assignment.liveRouters, s.self)))
	// The router that gets the remainder varies by upstream. Otherwise the first
	// routers would get the remainders of all upstreams.
	i = (i + u.GetNumber()) % n
	part := u.GetSlots()*(i+1)/n - u.GetSlots()*i/n
	if part == 0 {
		return nil
	}
	clone := proto.CloneOf(u)
	clone.Slots = part
	return clone
}

// connectedRouters returns the other routers that are connected, sorted by id.
func (s *Scheduler) connectedRouters() []fleet.RouterID {
	var ids []fleet.RouterID
	for id, r := range s.routers {
		if r.connected {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// keeperOf returns the router that keeps an account's total for a service.
func (a *assignment) keeperOf(service, account fleet.ShortID) fleet.RouterID {
	return rendezvous.Pick(rendezvous.KeyOfNumber("keeper", uint64(service)<<32|uint64(account)), a.liveRouters)
}

func nonceOf(self fleet.RouterID, incarnation fleet.Incarnation) uint16 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(self))
	_, _ = digest.WriteString(strconv.FormatInt(int64(incarnation), 10))
	return uint16(digest.Sum64())
}
