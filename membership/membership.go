// Package membership decides which routers are members of the fleet, from the
// platform's list of VMs and from the router's own connections.
//
// VMs are replaced at any time, the list lags and may be unavailable, and the
// network is partitioned at times. Connections therefore take precedence over
// the list: a connected router is a member even if the list does not show it
// yet, and a disconnected one is not, even if the list shows it, because its
// dispatchers can't be reached. The list, and the addresses that other routers
// report, only determine which routers to connect to.
//
// There is no consensus. While views differ, two routers may both dispatch the
// same upstream; packages dispatcher and keeper tolerate that. When a partition
// ends, the connections are re-established and the views converge without any
// stored state.
//
// A router becomes a member only after JoinAfter, and the delay doubles with
// each disconnect. Without that, a peer with an unstable link would move
// dispatchers and keepers every second, and each move makes every moved
// upstream wait for a takeover. The delay is bounded by MaxJoinAfter, because
// both sides of an unstable link dispatch the same upstreams meanwhile.
package membership

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// Defaults of Options.
const (
	// DefaultJoinAfter is many round trips, and short compared with the life of a VM.
	DefaultJoinAfter = time.Second
	// DefaultMaxJoinAfter bounds how long the two sides of a flapping link
	// choose different dispatchers.
	DefaultMaxJoinAfter = 10 * time.Second
	// DefaultLeaveAfter lets a connection be re-established without moving any
	// dispatcher. The upstreams of a killed router get no new work for that long.
	DefaultLeaveAfter = 500 * time.Millisecond
	// stableAfter is how long a connection must last to reset the router's count of
	// disconnects.
	stableAfter = time.Minute
	// forgetAfter is how long a router that is neither listed nor connected
	// remains among the routers to connect to. It covers the lag of the list.
	forgetAfter = 5 * time.Minute
)

// Options configures Members. Zero durations mean the defaults.
type Options struct {
	Self fleet.RouterID
	// JoinAfter is how long a router must be connected before it is a member.
	JoinAfter time.Duration
	// MaxJoinAfter bounds that delay, which doubles with each disconnect.
	MaxJoinAfter time.Duration
	// LeaveAfter is the time from a disconnect until the router is no longer a member.
	LeaveAfter time.Duration
}

// Members is one router's view of the fleet. It is not safe for concurrent use.
type Members struct {
	options Options
	members map[fleet.RouterID]*member
}

type member struct {
	address          string
	listed           bool
	announcedLeaving bool // announced by the router itself
	listedLeaving    bool // according to the list
	connected        bool
	// joinsAt is when a connected router becomes a member.
	joinsAt time.Time
	// disconnectedAt is when the connection was lost; zero if there never was one.
	disconnectedAt time.Time
	// lastSeenAt is when the router was last listed, connected or disconnected, or
	// last announced whether it is leaving.
	lastSeenAt  time.Time
	connectedAt time.Time
	disconnects int
	joined      bool
}

// Member is the state of a router as shown to operators.
type Member struct {
	ID         fleet.RouterID
	Connected  bool
	Dispatches bool
	Leaving    bool
}

// ListedRouter is a router in the platform's list.
type ListedRouter struct {
	ID      fleet.RouterID
	Address string
	Leaving bool
}

// New returns Members that contain only the router itself.
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
	router := m.members[id]
	if router == nil {
		router = &member{}
		m.members[id] = router
	}
	return router
}

// SetList replaces the platform's list. It is not called while the platform is
// down, so the last list stays in effect.
func (m *Members) SetList(now time.Time, listed []ListedRouter) {
	for _, router := range m.members {
		router.listed = false
		router.listedLeaving = false
	}
	for _, entry := range listed {
		router := m.member(entry.ID)
		router.listed = true
		router.listedLeaving = entry.Leaving
		router.address = entry.Address
		router.lastSeenAt = now
	}
	m.forget(now)
}

func (m *Members) forget(now time.Time) {
	for id, router := range m.members {
		if !router.connected && !router.listed && now.Sub(router.lastSeenAt) > forgetAfter {
			delete(m.members, id)
		}
	}
}

// SetConnected records a connection to a router and the address that the router reports.
func (m *Members) SetConnected(now time.Time, id fleet.RouterID, address string) {
	router := m.member(id)
	if address != "" {
		router.address = address
	}
	router.connected = true
	router.announcedLeaving = false
	router.lastSeenAt, router.connectedAt = now, now
	if !router.joined {
		router.joinsAt = now.Add(m.joinDelay(router.disconnects))
	}
}

// joinDelay returns how long a router must be connected before it becomes a member.
func (m *Members) joinDelay(disconnects int) time.Duration {
	delay := m.options.JoinAfter
	for range disconnects {
		delay = min(2*delay, m.options.MaxJoinAfter)
	}
	return delay
}

// SetDisconnected records that the connection to a router was lost.
func (m *Members) SetDisconnected(now time.Time, id fleet.RouterID) {
	router := m.members[id]
	if router == nil || !router.connected {
		return
	}
	router.connected = false
	router.disconnectedAt, router.lastSeenAt = now, now
	if now.Sub(router.connectedAt) >= stableAfter {
		router.disconnects = 0
	}
	router.disconnects++
}

// SetLeaving records a router's announcement that it dispatches nothing, because it
// is shutting down or has no release note yet, or, with leaving false, that it
// dispatches again.
func (m *Members) SetLeaving(now time.Time, id fleet.RouterID, leaving bool) {
	router := m.member(id)
	router.announcedLeaving = leaving
	router.lastSeenAt = now
}

// IsLeaving reports whether a router announced that it is leaving.
func (m *Members) IsLeaving(id fleet.RouterID) bool {
	router := m.members[id]
	return router != nil && router.announcedLeaving
}

// Tick updates which routers are members as of now.
func (m *Members) Tick(now time.Time) {
	for id, router := range m.members {
		m.updateJoined(now, id, router)
	}
}

func (m *Members) updateJoined(now time.Time, id fleet.RouterID, router *member) {
	switch {
	case id == m.options.Self && router.joinsAt.IsZero():
		router.joinsAt = now.Add(m.options.JoinAfter)
	case router.connected && !now.Before(router.joinsAt):
		router.joined = true
	case !router.connected && now.Sub(router.disconnectedAt) >= m.options.LeaveAfter:
		router.joined = false
	}
}

// Dispatchers returns the routers among which dispatchers and keepers are
// chosen, sorted by id: the members that are not leaving. If there are none, as
// in a router's first second, it returns the other connected routers, which
// already know each other; failing these, the router itself if it is not
// leaving, and at last all connected routers, leaving or not.
func (m *Members) Dispatchers(now time.Time) []fleet.RouterID {
	m.Tick(now)
	for _, accept := range []func(id fleet.RouterID, router *member) bool{
		func(_ fleet.RouterID, router *member) bool { return router.joined && !router.isLeaving() },
		func(id fleet.RouterID, router *member) bool {
			return router.connected && !router.isLeaving() && id != m.options.Self
		},
		func(id fleet.RouterID, router *member) bool { return id == m.options.Self && !router.isLeaving() },
		func(_ fleet.RouterID, router *member) bool { return router.connected },
	} {
		if routers := m.filter(accept); len(routers) > 0 {
			return routers
		}
	}
	return nil
}

// isLeaving reports whether a router announced that it is leaving, or is listed
// as leaving.
func (router *member) isLeaving() bool { return router.announcedLeaving || router.listedLeaving }

func (m *Members) filter(accept func(id fleet.RouterID, router *member) bool) []fleet.RouterID {
	var routers []fleet.RouterID
	for id, router := range m.members {
		if accept(id, router) {
			routers = append(routers, id)
		}
	}
	slices.Sort(routers)
	return routers
}

// Addresses returns the addresses of the other routers to connect to.
func (m *Members) Addresses() map[fleet.RouterID]string {
	addresses := make(map[fleet.RouterID]string, len(m.members))
	for id, router := range m.members {
		if id != m.options.Self && router.address != "" {
			addresses[id] = router.address
		}
	}
	return addresses
}

// All returns every known router, sorted by id.
func (m *Members) All(now time.Time) []Member {
	dispatchers := m.Dispatchers(now)
	var all []Member
	for _, id := range m.filter(func(fleet.RouterID, *member) bool { return true }) {
		router := m.members[id]
		all = append(all, Member{
			ID: id, Connected: router.connected, Dispatches: slices.Contains(dispatchers, id), Leaving: router.isLeaving(),
		})
	}
	return all
}

// Poll interval of the list.
const (
	minPollInterval = time.Second
	// pollIntervalPerRouter limits all routers together to 100 reads a second,
	// a twentieth of what the platform serves.
	pollIntervalPerRouter = 10 * time.Millisecond
)

// PollInterval returns how long to wait before the list is read again. Random,
// from 0 to 1, spreads the reads of routers that started at the same time.
func (m *Members) PollInterval(random float64) time.Duration {
	interval := max(minPollInterval, time.Duration(len(m.members))*pollIntervalPerRouter)
	return time.Duration((0.5 + random) * float64(interval))
}
