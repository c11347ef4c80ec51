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
	// elsewhere is its service at the other routers.
	elsewhere float64
	queue     []*Ticket
}

func (a *account) served(now time.Time) float64 { return a.own.at(now) + a.elsewhere }

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
	p.accounts[id] = a
	return a
}
