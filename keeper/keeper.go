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
	"nutmeglock.example/nutmeglock/share"
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

// Keeper sums reports. It is used by one goroutine.
type Keeper struct {
	options Options
	sums    share.Keeper[Key, reporter]
	heard   map[Key]time.Time
	latest  map[fleet.RouterID]fleet.Incarnation
}

// reporter is one life of a router, which counts from zero.
type reporter struct {
	router      fleet.RouterID
	incarnation fleet.Incarnation
}

// New returns a Keeper that knows no account.
func New(options Options) *Keeper {
	if options.Idle <= 0 {
		options.Idle = DefaultIdle
	}
	if options.Max <= 0 {
		options.Max = DefaultMax
	}
	return &Keeper{
		options: options,
		heard:   make(map[Key]time.Time),
		latest:  make(map[fleet.RouterID]fleet.Incarnation),
	}
}

// Report takes a dispatcher's report and returns the account's total. A report
// of an older incarnation of the router changes nothing, and the total that
// it gets covers nothing.
func (k *Keeper) Report(now time.Time, from fleet.RouterID, incarnation fleet.Incarnation, report share.Report[Key]) share.Total {
	latest := k.latest[from]
	if incarnation < latest {
		return k.sums.Total(reporter{from, incarnation}, report.Key)
	}
	if incarnation > latest {
		// The router counts from zero; what it charged before stays in the
		// sums, or each account would be served twice for it.
		k.sums.Gone(reporter{from, latest})
		k.latest[from] = incarnation
	}
	k.hear(now, report.Key)
	return k.sums.Report(reporter{from, incarnation}, report)
}

func (k *Keeper) hear(now time.Time, key Key) {
	if _, known := k.heard[key]; !known && len(k.heard) >= k.options.Max {
		k.forgetOldest()
	}
	k.heard[key] = now
}

func (k *Keeper) forgetOldest() {
	var oldest Key
	var at time.Time
	for key, heard := range k.heard {
		if at.IsZero() || heard.Before(at) {
			oldest, at = key, heard
		}
	}
	k.forget(oldest)
}

func (k *Keeper) forget(key Key) {
	delete(k.heard, key)
	k.sums.Forget(key)
}

// Tick forgets accounts that nobody reported for a while.
func (k *Keeper) Tick(now time.Time) {
	for key, heard := range k.heard {
		if now.Sub(heard) >= k.options.Idle {
			k.forget(key)
		}
	}
}

// Len returns how many accounts are remembered.
func (k *Keeper) Len() int { return len(k.heard) }
