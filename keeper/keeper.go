// Package keeper sums the service of client accounts over all dispatchers.
//
// Without the sum, an account with requests at several dispatchers would receive
// a full share at each of them. Each account has a keeper, which is one of the
// routers. Dispatchers report to it what they have charged the account since
// they started, and receive the sum. Reports are cumulative, so that lost,
// repeated and late ones do no harm. A full exchange between all dispatchers
// would take 58 KB a round at 3,600 backlogged accounts, twenty times the
// bandwidth allowed for control messages per second. With a keeper, an account
// takes two short messages each time that its service at a dispatcher grows by
// the report threshold.
//
// The sums are not persisted. After a takeover or restart, dispatchers send the
// last totals they know as floors, and the keeper continues from the highest.
package keeper

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/share"
)

// Defaults of Options.
const (
	// DefaultIdleTimeout is how long an account is kept without a report. A
	// removed account starts again from the floors of its dispatchers, so the
	// timeout needs only to be longer than any request takes.
	DefaultIdleTimeout = 15 * time.Minute
	// DefaultMaxAccounts is the maximum number of accounts. At the target size a
	// keeper has 78. After a network partition a single router may keep all
	// 36,000, at about 300 bytes each with two dispatchers.
	DefaultMaxAccounts = 50_000
)

// Options configure a Keeper. Zero values select the defaults.
type Options struct {
	IdleTimeout time.Duration
	MaxAccounts int
}

// Key identifies an account at one service. Amounts of different services are not
// interchangeable and are summed separately.
type Key struct {
	Service fleet.ShortID
	Account fleet.ShortID
}

// Keeper sums the reports of dispatchers. It is not safe for concurrent use.
type Keeper struct {
	options      Options
	sums         share.Keeper[Key, reporter]
	lastReport   map[Key]time.Time
	incarnations map[fleet.RouterID]fleet.Incarnation
}

// reporter is one incarnation of a router. Its reports count from zero.
type reporter struct {
	router      fleet.RouterID
	incarnation fleet.Incarnation
}

// New returns a Keeper without accounts.
func New(options Options) *Keeper {
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxAccounts <= 0 {
		options.MaxAccounts = DefaultMaxAccounts
	}
	return &Keeper{
		options:      options,
		lastReport:   make(map[Key]time.Time),
		incarnations: make(map[fleet.RouterID]fleet.Incarnation),
	}
}

// Report applies a dispatcher's report and returns the account's total. A report
// of an older incarnation of the router is ignored; OwnReported is zero in the
// total returned for it.
func (k *Keeper) Report(now time.Time, from fleet.RouterID, incarnation fleet.Incarnation, report share.Report[Key]) share.Total {
	latest := k.incarnations[from]
	if incarnation < latest {
		return k.sums.Total(reporter{from, incarnation}, report.Key)
	}
	if incarnation > latest {
		// The new incarnation counts from zero. What the old one charged stays in
		// the sums, or the accounts would receive that service a second time.
		k.sums.RemoveDispatcher(reporter{from, latest})
		k.incarnations[from] = incarnation
	}
	k.recordReport(now, report.Key)
	return k.sums.Report(reporter{from, incarnation}, report)
}

// recordReport sets the time of the last report on key. If there are too many
// accounts, it removes the one without a report for longest.
func (k *Keeper) recordReport(now time.Time, key Key) {
	if _, known := k.lastReport[key]; !known && len(k.lastReport) >= k.options.MaxAccounts {
		k.forgetOldest()
	}
	k.lastReport[key] = now
}

func (k *Keeper) forgetOldest() {
	var oldest Key
	var oldestReport time.Time
	for key, reported := range k.lastReport {
		if oldestReport.IsZero() || reported.Before(oldestReport) {
			oldest, oldestReport = key, reported
		}
	}
	k.forget(oldest)
}

func (k *Keeper) forget(key Key) {
	delete(k.lastReport, key)
	k.sums.Forget(key)
}

// Tick removes accounts without a report for the idle timeout.
func (k *Keeper) Tick(now time.Time) {
	for key, reported := range k.lastReport {
		if now.Sub(reported) >= k.options.IdleTimeout {
			k.forget(key)
		}
	}
}

// Len returns the number of accounts, counting each service of an account.
func (k *Keeper) Len() int { return len(k.lastReport) }
