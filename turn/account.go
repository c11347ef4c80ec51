package turn

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rate"
)

// serviceWindow is the time constant over which an account's past service decays. Users
// compare accounts second by second. With a longer window, an account that was served alone
// would get only a fraction of a newcomer's service for the rest of the window.
const serviceWindow = time.Second

// account is the state of one account at one service.
type account struct {
	key        Key
	servedHere rate.DecayingSum
	// refused counts the tokens of its requests that this pool refused.
	refused rate.DecayingSum
	// refusedRequests are those whose callers may return.
	refusedRequests refusedRequests
	// returns holds when they may return, if this is their home.
	returns returns
	// shed counts the tokens of its requests that a router refused before calling Submit.
	shed rate.DecayingSum
	// remote is the account's usage at all other routers.
	remote Usage
	queue  []*Ticket
	// waitingTokens is the number of prompt tokens in queue.
	waitingTokens int
}

func (a *account) served(now time.Time) float64 {
	return a.servedHere.At(now, serviceWindow) + a.remote.Served
}

// totalUsage returns the account's usage at all routers.
func (a *account) totalUsage(now time.Time) Usage { return a.localUsage(now).add(a.remote) }

// localUsage returns the account's usage at this router.
func (a *account) localUsage(now time.Time) Usage {
	return Usage{
		Served: a.servedHere.At(now, serviceWindow), WaitingTokens: a.waitingTokens,
		Refused: a.refused.At(now, serviceWindow), Shed: a.shed.At(now, serviceWindow),
	}
}

// enqueue adds a ticket to the queue. A request that was refused before goes before those
// that weren't.
func (a *account) enqueue(t *Ticket) {
	newcomer := slices.IndexFunc(a.queue, func(other *Ticket) bool { return !other.returned })
	if !t.returned || newcomer < 0 {
		a.queue = append(a.queue, t)
		return
	}
	a.queue = slices.Insert(a.queue, newcomer, t)
}

func (p *Pool) account(id fleet.AccountID) *account {
	a := p.accounts[id]
	if a != nil {
		return a
	}
	if p.accounts == nil {
		p.accounts = make(map[fleet.AccountID]*account)
	}
	a = &account{key: KeyOf(id)}
	a.remote = p.remoteUsage[a.key]
	if p.localKeys == nil {
		p.localKeys = make(map[Key]bool)
	}
	p.localKeys[a.key] = true
	p.accounts[id] = a
	return a
}

const (
	// serviceTolerance is the difference in service, in tokens, that is too small to
	// matter: a few requests, since a request is served either whole or not at all.
	serviceTolerance = 50_000
	// The backlog factor is backlogAtShare for an account that received its fair share
	// while others have unmet demand, at most maxBacklogFactor for one that received less,
	// backlogSlope lower for one that received twice its share, and never below
	// minBacklogFactor. A larger backlogAtShare delays first events.
	backlogAtShare   = 0.6
	maxBacklogFactor = 1.5
	backlogSlope     = 3
	minBacklogFactor = 0.1
	// fullPressure is the unserved fraction of the demand from which backlogAtShare applies in
	// full. At lower pressure, for example when a large account briefly has unmet demand
	// under low load, less room has to be kept free.
	fullPressure = 0.25
)

// backlogFactor returns the factor by which the usual limit of the prefill backlog is
// multiplied for an account's requests.
//
// It keeps service fair between accounts whose requests arrive at different routers. A
// router knows first of the room that its own prompts free at an engine. Without the factor
// it would always use that room for its own next request, and an account would keep the
// room once it had it. Accounts above their fair share therefore stop earlier and leave the
// room to other routers.
func backlogFactor(served, fairShare, pressure float64) float64 {
	ratio := (served + serviceTolerance) / (fairShare + serviceTolerance)
	atShare := maxBacklogFactor - (maxBacklogFactor-backlogAtShare)*min(pressure/fullPressure, 1)
	return min(max(atShare-backlogSlope*(ratio-1), minBacklogFactor), maxBacklogFactor)
}

// The patience of a request is multiplied by up to maxPatienceFactor for an account that was
// served less than its fair share, and by as little as minPatienceFactor for one served
// more.
const (
	maxPatienceFactor = 1.5
	minPatienceFactor = 0.67
	// minPatience is longer than idleGrace. Otherwise a request of an account above its
	// share would be refused under low load although an engine is idle.
	minPatience = 110 * time.Millisecond
)

// patience returns how long a request may wait. Requests of accounts served less may wait
// longer, so that they get a turn. Those of accounts served more are refused sooner, and
// the room that becomes free goes to others.
func patience(shares fairShares, usage Usage, r *Request) time.Duration {
	factor := backlogFactor(usage.Served, shares.fairShare(usage.hasUnmetDemand()), shares.pressure)
	patience := time.Duration(min(max(factor, minPatienceFactor), maxPatienceFactor) * float64(r.Patience))
	return max(patience, min(r.Patience, minPatience))
}
