package turn

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/fleet"
)

// reportTTL is how long another router's report counts. Routers with work report several
// times a second; one that is silent for longer is disconnected or gone, and its requests
// end.
const reportTTL = 1500 * time.Millisecond

// Load is the load that one router puts on one upstream.
type Load struct {
	// PendingPrefill is the number of prompt tokens that were sent and not yet read.
	PendingPrefill int
	// InFlight is the number of requests in flight.
	InFlight int
	// WaitingTokens is the number of tokens of the requests that are queued at the router and
	// prefer this upstream.
	WaitingTokens int
	// NewPrefixes lists the hashes of shared prefixes that the router sent to the upstream
	// since its last report.
	NewPrefixes []uint64
}

func (l Load) isEmpty() bool {
	return l.PendingPrefill == 0 && l.InFlight == 0 && l.WaitingTokens == 0 && len(l.NewPrefixes) == 0
}

func (l Load) add(other Load) Load {
	return Load{PendingPrefill: l.PendingPrefill + other.PendingPrefill, InFlight: l.InFlight + other.InFlight, WaitingTokens: l.WaitingTokens + other.WaitingTokens}
}

// Key is the hash by which reports identify an upstream or an account.
type Key uint32

// KeyOf returns the Key of an ID.
func KeyOf[K ~string](id K) Key { return Key(xxhash.Sum64String(string(id))) }

// Usage is one account's usage at one router.
type Usage struct {
	// Served is the account's recent service, in tokens.
	Served float64
	// WaitingTokens is the number of tokens of its queued requests.
	WaitingTokens int
	// Refused is the number of tokens of its recently refused requests.
	Refused float64
	// Shed is the number of tokens of requests that the overloaded router recently refused
	// before it requested their turns.
	Shed float64
}

// hasUnmetDemand reports whether some of the account's requests wait or were refused.
func (u Usage) hasUnmetDemand() bool { return u.WaitingTokens > 0 || u.Refused >= 1 }

func (u Usage) add(other Usage) Usage {
	return Usage{
		Served: u.Served + other.Served, WaitingTokens: u.WaitingTokens + other.WaitingTokens,
		Refused: u.Refused + other.Refused, Shed: u.Shed + other.Shed,
	}
}

// Report is one router's state of a service, sent to the other routers.
type Report struct {
	Upstreams map[Key]Load
	Accounts  map[Key]Usage
}

// receivedReport is a Report and the time of its arrival.
type receivedReport struct {
	report     Report
	receivedAt time.Time
}

// Report returns this router's report for the other routers.
func (p *Pool) Report(now time.Time) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{
		Upstreams: make(map[Key]Load, len(p.engines)),
		Accounts:  make(map[Key]Usage, len(p.accounts)),
	}
	for _, e := range p.engines {
		load := Load{PendingPrefill: e.backlog.tokens, InFlight: e.inFlight, WaitingTokens: e.waitingTokens, NewPrefixes: e.unreportedPrefixes}
		e.unreportedPrefixes = nil
		if !load.isEmpty() {
			r.Upstreams[e.key] = load
		}
	}
	for _, a := range p.accounts {
		usage := a.localUsage(now)
		if usage.Served >= 1 || usage.Shed >= 1 || usage.hasUnmetDemand() {
			r.Accounts[a.key] = usage
		}
	}
	return r
}

// ApplyReport applies another router's report and starts the waiting requests that now have
// room.
func (p *Pool) ApplyReport(now time.Time, from fleet.RouterID, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = make(map[fleet.RouterID]receivedReport)
	}
	p.reports[from] = receivedReport{report: r, receivedAt: now}
	for _, e := range p.engines {
		e.recordCached(now, r.Upstreams[e.key].NewPrefixes)
	}
	p.sumReports(now)
	p.startWaiting(now)
}

// expireReports drops reports older than reportTTL. It runs for each request: when all other
// routers are gone, no new report replaces theirs, and the load in them would block the
// engines for ever.
func (p *Pool) expireReports(now time.Time) {
	if len(p.reports) > 0 && now.Sub(p.oldestReport) >= reportTTL {
		p.sumReports(now)
	}
}

// sumReports drops expired reports and adds up the others.
func (p *Pool) sumReports(now time.Time) {
	p.oldestReport = now
	for _, e := range p.engines {
		e.remote = Load{}
	}
	p.remoteUsage = make(map[Key]Usage)
	for from, received := range p.reports {
		if now.Sub(received.receivedAt) >= reportTTL {
			delete(p.reports, from)
			continue
		}
		if received.receivedAt.Before(p.oldestReport) {
			p.oldestReport = received.receivedAt
		}
		for _, e := range p.engines {
			e.remote = e.remote.add(received.report.Upstreams[e.key])
			if e.remote.PendingPrefill > 0 {
				e.lastBusy = now
			}
		}
		for key, usage := range received.report.Accounts {
			p.remoteUsage[key] = p.remoteUsage[key].add(usage)
		}
	}
	for _, a := range p.accounts {
		a.remote = p.remoteUsage[a.key]
	}
}
