package scheduler

import (
	"cmp"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// ranking is the order in which an account asks the dispatchers of a service,
// kept while the assignment stays: with a thousand upstreams it takes longer
// than all else that a request costs here.
type ranking struct {
	epoch   uint64
	routers []fleet.RouterID
}

// routersOf returns the dispatchers of a service in the order in which an
// account asks them. They are ranked by upstream, so that accounts spread in
// proportion to upstreams.
func (a *assignment) routersOf(service, account fleet.Number) []fleet.RouterID {
	type scored struct {
		router fleet.RouterID
		score  rendezvous.Key
	}
	var all []scored
	for _, t := range a.byService[service] {
		all = append(all, scored{t.router, rendezvous.KeyOfNumber("ask", uint64(account)<<32|uint64(t.upstream))})
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	seen := make(map[fleet.RouterID]bool)
	var routers []fleet.RouterID
	for _, each := range all {
		if !seen[each.router] {
			seen[each.router] = true
			routers = append(routers, each.router)
		}
	}
	return routers
}

// ranked returns the dispatchers that a queue asks, those of the preferred
// upstreams first.
func (a *assignment) ranked(q *queue, preferred []fleet.Number) []fleet.RouterID {
	if q.ranking.epoch != a.epoch {
		q.ranking = ranking{a.epoch, a.routersOf(q.key.service, q.key.account)}
	}
	routers := make([]fleet.RouterID, 0, len(q.ranking.routers))
	for _, upstream := range preferred {
		if router := a.dispatchers[upstream]; !slices.Contains(routers, router) {
			routers = append(routers, router)
		}
	}
	first := len(routers)
	for _, router := range q.ranking.routers {
		if !slices.Contains(routers[:first], router) {
			routers = append(routers, router)
		}
	}
	return routers
}

// preferredFor returns the two upstreams that requests with the same beginning
// of the prompt go to, so that they find it in the cache. Every router
// computes the same ones, so no message is needed.
func (a *assignment) preferredFor(service fleet.Number, prefix []uint64) []fleet.Number {
	if len(prefix) == 0 {
		return nil
	}
	var first, second fleet.Number
	var firstScore, secondScore rendezvous.Key
	for _, t := range a.byService[service] {
		score := rendezvous.KeyOfNumber("prefix", prefix[0]^uint64(dispatcherKey(t.upstream)))
		switch {
		case first == 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = t.upstream, score
		case second == 0 || score > secondScore:
			second, secondScore = t.upstream, score
		}
	}
	return slices.DeleteFunc([]fleet.Number{first, second}, func(u fleet.Number) bool { return u == 0 })
}

// serves reports whether an upstream takes new work of a service.
func (a *assignment) serves(service, upstream fleet.Number) bool {
	return slices.ContainsFunc(a.byService[service], func(t target) bool { return t.upstream == upstream })
}
