package turn

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// serviceWindow is how long service counts against an account. The users compare
// accounts over four seconds, so what was served long before then is no reason
// to let an account wait.
const serviceWindow = 4 * time.Second

// decaying is an amount that falls by a factor of e in each window.
type decaying struct {
	amount float64
	as     time.Time
}

func (d *decaying) at(now time.Time) float64 {
	if d.amount == 0 {
		return 0
	}
	return d.amount * math.Exp(-now.Sub(d.as).Seconds()/serviceWindow.Seconds())
}

func (d *decaying) add(now time.Time, amount float64) {
	d.amount = max(d.at(now)+amount, 0)
	d.as = now
}

// account is what is known of one account at one service.
type account struct {
	key Key
	own decaying
	// elsewhere is how it stands at the other routers.
	elsewhere Standing
	queue     []*Ticket
	// waiting is the tokens of what is in the queue.
	waiting int
}

func (a *account) served(now time.Time) float64 { return a.own.at(now) + a.elsewhere.Served }

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
	// least of those that wait may use mostDepth times the usual, and one that was
	// served twice as much excessDepth less, down to leastDepth.
	mostDepth   = 1.25
	excessDepth = 1.0
	leastDepth  = 0.15
)

// depth returns the part of the usual unread work up to which an account's
// requests may start.
//
// It answers accounts whose requests arrive at different routers. Each router
// sees room at an engine when one of its own prompts was read, and would give it
// to its own next request, whoever waits elsewhere: an account whose router
// holds the room keeps it. Those that were served more stop earlier, so that
// the room is there for the others when their routers look.
func (p *Pool) depth(now time.Time, a *account) float64 {
	least := p.leastServed(now)
	ratio := (a.served(now) + evenService) / (least + evenService)
	return min(max(mostDepth-excessDepth*(ratio-1), leastDepth), mostDepth)
}

// leastServed returns the service of the account with waiting requests, at any
// router, that was served least.
func (p *Pool) leastServed(now time.Time) float64 {
	least := math.Inf(1)
	for _, a := range p.accounts {
		if len(a.queue) > 0 || a.elsewhere.Waiting > 0 {
			least = min(least, a.served(now))
		}
	}
	for key, there := range p.elsewhere {
		if there.Waiting > 0 && !p.keys[key] {
			least = min(least, there.Served)
		}
	}
	return least
}
