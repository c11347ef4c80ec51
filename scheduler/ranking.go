package scheduler

import (
	"cmp"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// dispatcherRanking caches the order in which an account asks a service's
// dispatchers until the assignment changes: with a thousand upstreams, computing
// it takes longer than all other work for a request in this package.
type dispatcherRanking struct {
	epoch       uint64
	dispatchers []fleet.RouterID
}

// rankForAccount returns a service's dispatchers in the order in which an account
// asks them. Each upstream is scored, so that the accounts spread over the
// dispatchers in proportion to their upstreams.
func (a *assignment) rankForAccount(service, account fleet.ShortID) []fleet.RouterID {
	type scored struct {
		router fleet.RouterID
		score  rendezvous.Key
	}
	var all []scored
	for _, u := range a.available[service] {
		all = append(all, scored{u.dispatcher, rendezvous.KeyOfNumber("ask", uint64(account)<<32|uint64(u.number))})
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	seen := make(map[fleet.RouterID]bool)
	var routers []fleet.RouterID
	for _, candidate := range all {
		if !seen[candidate.router] {
			seen[candidate.router] = true
			routers = append(routers, candidate.router)
		}
	}
	return routers
}

// rankForQueue returns the order in which a queue asks its dispatchers, those of
// the preferred upstreams first.
func (a *assignment) rankForQueue(q *queue, preferred []fleet.ShortID) []fleet.RouterID {
	if q.ranking.epoch != a.epoch {
		q.ranking = dispatcherRanking{a.epoch, a.rankForAccount(q.key.service, q.key.account)}
	}
	routers := make([]fleet.RouterID, 0, len(q.ranking.dispatchers))
	for _, upstream := range preferred {
		if router := a.dispatchers[upstream]; !slices.Contains(routers, router) {
			routers = append(routers, router)
		}
	}
	preferredCount := len(routers)
	for _, router := range q.ranking.dispatchers {
		if !slices.Contains(routers[:preferredCount], router) {
			routers = append(routers, router)
		}
	}
	return routers
}

// prefixUpstreams returns the two upstreams preferred by all requests with the
// same first prompt block, so that they find it cached. Every router computes the
// same two, without any messages.
func (a *assignment) prefixUpstreams(service fleet.ShortID, prefixes []uint64) []fleet.ShortID {
	if len(prefixes) == 0 {
		return nil
	}
	var first, second fleet.ShortID
	var firstScore, secondScore rendezvous.Key
	for _, u := range a.available[service] {
		score := rendezvous.KeyOfNumber("prefix", prefixes[0]^uint64(dispatcherKey(u.number)))
		switch {
		case first == 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = u.number, score
		case second == 0 || score > secondScore:
			second, secondScore = u.number, score
		}
	}
	return slices.DeleteFunc([]fleet.ShortID{first, second}, func(u fleet.ShortID) bool { return u == 0 })
}

// serves reports whether an upstream of a service is available.
func (a *assignment) serves(service, upstream fleet.ShortID) bool {
	return slices.ContainsFunc(a.available[service], func(u availableUpstream) bool { return u.number == upstream })
}
