package turn

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/fleet"
)

// loadAge is how long another router's report counts. Routers report several
// times a second while they have work; one that is silent for longer is cut off
// or gone, and its requests end.
const loadAge = 1500 * time.Millisecond

// Load is what one router has at one upstream.
type Load struct {
	// Unread is the prompt tokens that were sent and not yet read.
	Unread int
	// InFlight is the requests in flight.
	InFlight int
	// Waiting is the tokens that wait at the router for a turn at this upstream.
	Waiting int
	// Read are the beginnings that the router had the upstream read since its
	// last report.
	Read []uint64
}

func (l Load) isEmpty() bool {
	return l.Unread == 0 && l.InFlight == 0 && l.Waiting == 0 && len(l.Read) == 0
}

func (l Load) add(other Load) Load {
	return Load{Unread: l.Unread + other.Unread, InFlight: l.InFlight + other.InFlight, Waiting: l.Waiting + other.Waiting}
}

// Key stands for the id of an upstream or an account in reports.
type Key uint32

// KeyOf returns the key of an id.
func KeyOf[K ~string](id K) Key { return Key(xxhash.Sum64String(string(id))) }

// Standing is what one router tells of an account.
type Standing struct {
	// Served is its service at the router of late, in tokens.
	Served float64
	// Waiting is the tokens of its requests that wait there.
	Waiting int
	// Denied is the tokens of its requests that were refused there of late.
	Denied float64
	// Shed is the tokens of those that were refused there before they asked for a turn,
	// since the router has too much to do.
	Shed float64
}

// lacks reports whether the account has work that isn't served.
func (s Standing) lacks() bool { return s.Waiting > 0 || s.Denied >= 1 }

func (s Standing) add(other Standing) Standing {
	return Standing{
		Served: s.Served + other.Served, Waiting: s.Waiting + other.Waiting,
		Denied: s.Denied + other.Denied, Shed: s.Shed + other.Shed,
	}
}

// Report is what one router tells the others of a service.
type Report struct {
	Upstreams map[Key]Load
	Accounts  map[Key]Standing
}

// heard is a Report with the time at which it came.
type heard struct {
	report Report
	at     time.Time
}

// Report returns what this router tells the others.
func (p *Pool) Report(now time.Time) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{
		Upstreams: make(map[Key]Load, len(p.engines)),
		Accounts:  make(map[Key]Standing, len(p.accounts)),
	}
	for _, e := range p.engines {
		own := Load{Unread: e.unread, InFlight: e.inFlight, Waiting: e.waiting, Read: e.news}
		e.news = nil
		if !own.isEmpty() {
			r.Upstreams[e.key] = own
		}
	}
	for _, a := range p.accounts {
		own := a.standing(now)
		if own.Served >= 1 || own.Shed >= 1 || own.lacks() {
			r.Accounts[a.key] = own
		}
	}
	return r
}

// Observe takes another router's report, and starts what can be started now.
func (p *Pool) Observe(now time.Time, from fleet.RouterID, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == nil {
		p.heard = make(map[fleet.RouterID]heard)
	}
	p.heard[from] = heard{report: r, at: now}
	for _, e := range p.engines {
		e.learn(now, r.Upstreams[e.key].Read)
	}
	p.sumOthers(now)
	p.pump(now)
}

// forgetOld drops reports that don't count any more. It is asked at each demand:
// when all other routers are gone, no report comes that would displace theirs, and
// what they had in flight would block the engines for ever.
func (p *Pool) forgetOld(now time.Time) {
	if len(p.heard) > 0 && now.Sub(p.oldest) >= loadAge {
		p.sumOthers(now)
	}
}

// sumOthers adds up the reports that are recent enough.
func (p *Pool) sumOthers(now time.Time) {
	p.oldest = now
	for _, e := range p.engines {
		e.others = Load{}
	}
	p.elsewhere = make(map[Key]Standing)
	for from, h := range p.heard {
		if now.Sub(h.at) >= loadAge {
			delete(p.heard, from)
			continue
		}
		if h.at.Before(p.oldest) {
			p.oldest = h.at
		}
		for _, e := range p.engines {
			e.others = e.others.add(h.report.Upstreams[e.key])
			if e.others.Unread > 0 {
				e.busy = now
			}
		}
		for key, there := range h.report.Accounts {
			p.elsewhere[key] = p.elsewhere[key].add(there)
		}
	}
	for _, a := range p.accounts {
		a.elsewhere = p.elsewhere[a.key]
	}
}
