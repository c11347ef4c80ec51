// Package membership decides which routers take part in the fleet, from the
// platform's lagging list of VMs and from the router's own connections.
//
// It answers the changes of a fleet whose VMs are replaced at any time, whose
// list lags and may be down, and whose network is cut at times. Own evidence
// goes before the list: a router that is connected takes part though the list
// does not show it yet, and one that is not connected does not, whatever the
// list says, because its dispatchers could not be asked. The list, and what
// other routers said of their addresses, only tell whom to connect to.
//
// Nothing is agreed. While views differ, two routers may believe that they
// dispatch the same upstream; packages dispatcher and keeper bear that. When a
// cut ends the connections come back and the views become equal without
// anybody remembering anything.
//
// A router joins only after JoinAfter, and one that was lost before after
// twice as long each time. Without that, a peer with a bad link would move
// dispatchers and keepers each second, and each move costs the wait of a
// takeover at every upstream that moves. The wait is bounded by MaxJoinAfter,
// because both sides of a bad link dispatch the same upstreams meanwhile.
package membership

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Defaults of Options.
const (
	// DefaultJoinAfter is many round trips, and little beside the life of a VM.
	DefaultJoinAfter = time.Second
	// DefaultMaxJoinAfter bounds how long two sides of a link that flaps
	// believe in different dispatchers.
	DefaultMaxJoinAfter = 10 * time.Second
	// DefaultLeaveAfter lets a connection break and come back without moving
	// anything. For so long the upstreams of a killed router get no new work.
	DefaultLeaveAfter = 500 * time.Millisecond
	// stableAfter is how long a router stays connected until its losses are forgotten.
	stableAfter = time.Minute
	// forgetAfter is how long a router that is neither listed nor connected is
	// still tried. It bridges the lag of the list.
	forgetAfter = 5 * time.Minute
)

// Options configure Members. Zero durations mean the defaults.
type Options struct {
	Self         fleet.RouterID
	JoinAfter    time.Duration
	MaxJoinAfter time.Duration
	LeaveAfter   time.Duration
}

// Members is what one router knows of the others. It is used by one goroutine.
type Members struct {
	options Options
	members map[fleet.RouterID]*member
}

type member struct {
	address   string
	listed    bool
	leaving   bool // said by the router itself
	listLeave bool // said by the list
	connected bool
	// joinsAt is when a connected router takes part.
	joinsAt time.Time
	// lostAt is when its connection broke, zero when it never was connected.
	lostAt time.Time
	// knownAt is when it was last listed or connected.
	knownAt time.Time
	since   time.Time
	losses  int
	joined  bool
}

// Member is what an operator sees of a router.
type Member struct {
	ID         fleet.RouterID
	Connected  bool
	Dispatches bool
	Leaving    bool
}

// Listed is a router in the platform's list.
type Listed struct {
	ID      fleet.RouterID
	Address string
	Leaving bool
}

// New returns Members that know only the router itself.
func New(options Options) *Members {
	if options.JoinAfter <= 0 {
		options.JoinAfter = DefaultJoinAfter
	}
	if options.MaxJoinAfter <= 0 {
		options.MaxJoinAfter = DefaultMaxJoinAfter
	}
	if options.LeaveAfter <= 0 {
		options.LeaveAfter = DefaultLeaveAfter
	}
	m := &Members{options: options, members: make(map[fleet.RouterID]*member)}
	m.members[options.Self] = &member{connected: true}
	return m
}

func (m *Members) member(id fleet.RouterID) *member {
	known := m.members[id]
	if known == nil {
		known = &member{}
		m.members[id] = known
	}
	return known
}

// List takes the platform's list. While the platform is down nothing is taken
// and the last list stands.
func (m *Members) List(now time.Time, listed []Listed) {
	for _, each := range m.members {
		each.listed = false
		each.listLeave = false
	}
	for _, l := range listed {
		each := m.member(l.ID)
		each.listed = true
		each.listLeave = l.Leaving
		each.address = l.Address
		each.knownAt = now
	}
	m.forget(now)
}

func (m *Members) forget(now time.Time) {
	for id, each := range m.members {
		if !each.connected && !each.listed && now.Sub(each.knownAt) > forgetAfter {
			delete(m.members, id)
		}
	}
}

// Connected takes note of a connection to a router that says it is reached at address.
func (m *Members) Connected(now time.Time, id fleet.RouterID, address string) {
	each := m.member(id)
	if address != "" {
		each.address = address
	}
	each.connected = true
	each.leaving = false
	each.knownAt, each.since = now, now
	if !each.joined {
		each.joinsAt = now.Add(m.hold(each.losses))
	}
}

// hold returns how long a router stays connected before it takes part.
func (m *Members) hold(losses int) time.Duration {
	hold := m.options.JoinAfter
	for range losses {
		hold = min(2*hold, m.options.MaxJoinAfter)
	}
	return hold
}

// Disconnected takes note that the connection to a router is lost.
func (m *Members) Disconnected(now time.Time, id fleet.RouterID) {
	each := m.members[id]
	if each == nil || !each.connected {
		return
	}
	each.connected = false
	each.lostAt, each.knownAt = now, now
	if now.Sub(each.since) >= stableAfter {
		each.losses = 0
	}
	each.losses++
}

// Leave takes note that a router dispatches nothing by its own word, because it
// has begun its graceful shutdown or holds no release note yet; or, with
// leaving false, that it does again.
func (m *Members) Leave(now time.Time, id fleet.RouterID, leaving bool) {
	each := m.member(id)
	each.leaving = leaving
	each.knownAt = now
}

// Leaving reports whether a router said that it is leaving.
func (m *Members) Leaving(id fleet.RouterID) bool {
	each := m.members[id]
	return each != nil && each.leaving
}

// Tick moves what depends on time.
func (m *Members) Tick(now time.Time) {
	for id, each := range m.members {
		m.settle(now, id, each)
	}
}

func (m *Members) settle(now time.Time, id fleet.RouterID, each *member) {
	switch {
	case id == m.options.Self && each.joinsAt.IsZero():
		each.joinsAt = now.Add(m.options.JoinAfter)
	case each.connected && !now.Before(each.joinsAt):
		each.joined = true
	case !each.connected && now.Sub(each.lostAt) >= m.options.LeaveAfter:
		each.joined = false
	}
}

// Dispatchers returns the routers among which dispatchers and keepers are
// chosen, in order. They are those that take part and are not leaving. When
// there is none yet, as in a router's first second, they are the other ones
// that are connected, which knew each other before; else the router alone.
// Leaving ones serve when there is nobody else.
func (m *Members) Dispatchers(now time.Time) []fleet.RouterID {
	m.Tick(now)
	for _, accept := range []func(id fleet.RouterID, each *member) bool{
		func(_ fleet.RouterID, each *member) bool { return each.joined && !each.departs() },
		func(id fleet.RouterID, each *member) bool {
			return each.connected && !each.departs() && id != m.options.Self
		},
		func(id fleet.RouterID, each *member) bool { return id == m.options.Self && !each.departs() },
		func(_ fleet.RouterID, each *member) bool { return each.connected },
	} {
		if routers := m.collect(accept); len(routers) > 0 {
			return routers
		}
	}
	return nil
}

// departs reports whether a router is leaving by its own word or, before it
// has said so itself, by the list.
func (each *member) departs() bool { return each.leaving || each.listLeave }

func (m *Members) collect(accept func(id fleet.RouterID, each *member) bool) []fleet.RouterID {
	var routers []fleet.RouterID
	for id, each := range m.members {
		if accept(id, each) {
			routers = append(routers, id)
		}
	}
	slices.Sort(routers)
	return routers
}

// Targets returns the addresses of the other routers to be connected to.
func (m *Members) Targets() map[fleet.RouterID]string {
	targets := make(map[fleet.RouterID]string, len(m.members))
	for id, each := range m.members {
		if id != m.options.Self && each.address != "" {
			targets[id] = each.address
		}
	}
	return targets
}

// All returns every router that is known, in order.
func (m *Members) All(now time.Time) []Member {
	dispatchers := m.Dispatchers(now)
	var all []Member
	for _, id := range m.collect(func(fleet.RouterID, *member) bool { return true }) {
		each := m.members[id]
		all = append(all, Member{
			ID: id, Connected: each.connected, Dispatches: slices.Contains(dispatchers, id), Leaving: each.departs(),
		})
	}
	return all
}

// Poll interval of the list.
const (
	leastPollInterval = time.Second
	// pollPerRouter keeps the reads of all routers together at 100 a second,
	// a twentieth of what the platform serves.
	pollPerRouter = 10 * time.Millisecond
)

// PollInterval returns how long to wait until the list is read again. Random
// is from 0 to 1; it spreads the reads of routers that started together.
func (m *Members) PollInterval(random float64) time.Duration {
	interval := max(leastPollInterval, time.Duration(len(m.members))*pollPerRouter)
	return time.Duration((0.5 + random) * float64(interval))
}
