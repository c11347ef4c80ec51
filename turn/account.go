package turn

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rate"
)

// serviceWindow is how long service counts against an account. The users compare
// what accounts get second by second, so what one was served before the others
// came is no reason to let it wait: an account that had been alone would get a
// fraction of what the next one gets for as long as the window lasts.
const serviceWindow = time.Second

// account is what is known of one account at one service.
type account struct {
	key Key
	own rate.Recent
	// denied is the tokens of its requests that were refused here.
	denied rate.Recent
	// shed is the tokens of those that a router refused before it asked.
	shed rate.Recent
	// elsewhere is how it stands at the other routers.
	elsewhere Standing
	queue     []*Ticket
	// waiting is the tokens of what is in the queue.
	waiting int
}

func (a *account) served(now time.Time) float64 {
	return a.own.At(now, serviceWindow) + a.elsewhere.Served
}

// total returns how the account stands at all routers.
func (a *account) total(now time.Time) Standing { return a.standing(now).add(a.elsewhere) }

// standing returns how the account stands at this router.
func (a *account) standing(now time.Time) Standing {
	return Standing{
		Served: a.own.At(now, serviceWindow), Waiting: a.waiting,
		Denied: a.denied.At(now, serviceWindow), Shed: a.shed.At(now, serviceWindow),
	}
}

// deny notes that a request of the account was refused here.
func (a *account) deny(now time.Time, d *Demand) { a.denied.Add(now, serviceWindow, d.cost()) }

func (p *Pool) account(id fleet.AccountID) *account {
	a := p.accounts[id]
	if a != nil {
		return a
	}
	if p.accounts == nil {
		p.accounts = make(map[fleet.AccountID]*account)
	}
	a = &account{key: KeyOf(id)}
	a.elsewhere = p.elsewhere[a.key]
	if p.keys == nil {
		p.keys = make(map[Key]bool)
	}
	p.keys[a.key] = true
	p.accounts[id] = a
	return a
}

const (
	// evenService is service that makes no difference between accounts, in
	// tokens: that of a few requests, since one is given whole or not at all.
	evenService = 50_000
	// Of the work that an upstream may have unread, an account that was served
	// its share while others lack something may use shareDepth, one that was served
	// less up to mostDepth, and one that was served twice its share excessDepth less,
	// down to leastDepth. With a larger shareDepth first events come later.
	shareDepth  = 0.6
	mostDepth   = 1.5
	excessDepth = 3
	leastDepth  = 0.1
	// fullPressure is the part of what is asked that isn't served from which
	// shareDepth holds. Below it, as on a quiet day on which a large account lacks
	// something for a moment, there is less need to leave room.
	fullPressure = 0.25
)

// depth returns the part of the usual unread work up to which an account's
// requests may start.
//
// It answers accounts whose requests arrive at different routers. Each router
// sees room at an engine when one of its own prompts was read, and would give it
// to its own next request, whoever waits elsewhere: an account whose router
// holds the room keeps it. Those that were served more than their share stop
// earlier, so that the room is there for the others when their routers look.
func depth(served, share, pressure float64) float64 {
	ratio := (served + evenService) / (share + evenService)
	atShare := mostDepth - (mostDepth-shareDepth)*min(pressure/fullPressure, 1)
	return min(max(atShare-excessDepth*(ratio-1), leastDepth), mostDepth)
}

// Of the patience that a demand has, an account that was served less than its
// share may use up to mostPatience times as much, and one that was served more less,
// down to leastPatience.
const (
	mostPatience  = 1.5
	leastPatience = 0.67
	// idlePatience lets a request outlast idleGrace: on a quiet day one of an
	// account that was served more would be refused beside an idle engine.
	idlePatience = 110 * time.Millisecond
)

// patience returns how long a demand may wait. Accounts that were served less
// wait longer before they are refused, so that their turn comes; what those that
// were served more would wait for is given to others meanwhile.
func patience(claims claims, standing Standing, d *Demand) time.Duration {
	part := depth(standing.Served, claims.share(standing.lacks()), claims.pressure)
	patience := time.Duration(min(max(part, leastPatience), mostPatience) * float64(d.Patience))
	return max(patience, min(d.Patience, idlePatience))
}
