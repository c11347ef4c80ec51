// Package keeper sums the service of client accounts over all dispatchers.
//
// It answers the load pattern of an account whose work is dispatched at many
// routers at once: each dispatcher alone would give it a full share. The
// dispatchers tell the account's keeper, one of the routers, what they charged
// it since they started, and read the sum back. Reports are cumulative, so a
// lost, repeated or late one does no harm. A full exchange between all
// dispatchers would take 58 KB a round at 3,600 backlogged accounts, twenty
// times the control allowance of a second; here an account costs two short
// messages for each threshold of service that it receives at a dispatcher.
//
// Nothing is kept on a disk. A keeper that takes over or restarts hears the
// reporters' last totals as floors and goes on from the highest.
package keeper

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Defaults of Options.
const (
	// DefaultIdle is how long an account is remembered without a report. One
	// that is forgotten starts again at its reporters' floors, so it needs
	// only to be longer than any request takes.
	DefaultIdle = 15 * time.Minute
	// DefaultMax bounds the accounts that are remembered. At the target size a
	// keeper has 78; after a cut one router may keep all 36,000, at some 300
	// bytes each with two reporters.
	DefaultMax = 50_000
)

// Options configure a Keeper. Zero values mean the defaults.
type Options struct {
	Idle time.Duration
	Max  int
}

// Key is an account's use of one service. Service of different services
// can't be exchanged, so it is not summed.
type Key struct {
	Service fleet.Number
	Account fleet.Number
}

// Report is what one dispatcher charged since it started.
type Report struct {
	Key        Key
	Cumulative fleet.Tokens
	// Floor is the least total that the account is to have.
	Floor fleet.Tokens
	// Restored is true when Floor holds all of Cumulative, as another keeper
	// had summed it.
	Restored bool
}

// Total is what all dispatchers charged.
type Total struct {
	Sum fleet.Tokens
	// Covered is the reporter's own part that Sum contains.
	Covered fleet.Tokens
}

// Keeper sums reports. It is used by one goroutine.
type Keeper struct {
	options  Options
	accounts map[Key]*account
}

type account struct {
	sum       fleet.Tokens
	reporters map[fleet.RouterID]reporter
	heard     time.Time
}

type reporter struct {
	incarnation fleet.Incarnation
	cumulative  fleet.Tokens
}

// New returns a Keeper that knows no account.
func New(options Options) *Keeper {
	if options.Idle <= 0 {
		options.Idle = DefaultIdle
	}
	if options.Max <= 0 {
		options.Max = DefaultMax
	}
	return &Keeper{options: options, accounts: make(map[Key]*account)}
}

// Report takes a dispatcher's report and returns the account's total. A report
// of an older incarnation of the router changes nothing.
func (k *Keeper) Report(now time.Time, from fleet.RouterID, incarnation fleet.Incarnation, report Report) Total {
	a := k.account(now, report.Key)
	known, reported := a.reporters[from]
	if reported && known.incarnation > incarnation {
		return Total{Sum: a.sum, Covered: known.cumulative}
	}
	a.sum += report.Cumulative - known.base(incarnation, report)
	a.reporters[from] = reporter{incarnation, report.Cumulative}
	a.sum = max(a.sum, report.Floor)
	return Total{Sum: a.sum, Covered: report.Cumulative}
}

// base returns how much of a report's cumulative amount the sum holds already.
// A router that started anew counts from zero; what it charged before stays in
// the sum, or the account would be served twice for it. A keeper that is new
// to all reporters takes the highest of their floors, and each one's amount
// only from then on: floors overlap, so adding amounts would count them twice.
func (r reporter) base(incarnation fleet.Incarnation, report Report) fleet.Tokens {
	switch {
	case r.incarnation == incarnation:
		return r.cumulative
	case r.incarnation == 0 && report.Restored:
		return report.Cumulative
	default:
		return 0
	}
}

func (k *Keeper) account(now time.Time, key Key) *account {
	a := k.accounts[key]
	if a == nil {
		if len(k.accounts) >= k.options.Max {
			k.forgetOldest()
		}
		a = &account{reporters: make(map[fleet.RouterID]reporter)}
		k.accounts[key] = a
	}
	a.heard = now
	return a
}

func (k *Keeper) forgetOldest() {
	var oldest Key
	var at time.Time
	for key, a := range k.accounts {
		if at.IsZero() || a.heard.Before(at) {
			oldest, at = key, a.heard
		}
	}
	delete(k.accounts, oldest)
}

// Tick forgets accounts that nobody reported for a while.
func (k *Keeper) Tick(now time.Time) {
	for key, a := range k.accounts {
		if now.Sub(a.heard) >= k.options.Idle {
			delete(k.accounts, key)
		}
	}
}

// Len returns how many accounts are remembered.
func (k *Keeper) Len() int { return len(k.accounts) }
