package deployment

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// listCheckDelay is how long a list of upstreams may differ from another router's before this
	// router acts on it. Changes reach all routers within some hundred milliseconds.
	listCheckDelay = 400 * time.Millisecond
	// minReadInterval is the minimum time between two whole reads of the store that other routers'
	// lists give rise to.
	minReadInterval = 30 * time.Second
)

// listChecker compares this router's list of upstreams with those of others, and fetches what it can't
// get as single changes.
type listChecker struct {
	// isFetching is set while a whole list is fetched from another router.
	isFetching atomic.Bool
	// readRequested is set until the store is asked for the whole list.
	readRequested atomic.Bool
	// lastRead is when the latest whole read was requested, in nanoseconds since 1970.
	lastRead atomic.Int64
}

// requestRead requests a whole read of the list from the store. It returns false if that was done lately.
func (l *listChecker) requestRead(now time.Time) bool {
	last := l.lastRead.Load()
	if now.Sub(time.Unix(0, last)) < minReadInterval || !l.lastRead.CompareAndSwap(last, now.UnixNano()) {
		return false
	}
	l.readRequested.Store(true)
	return true
}

// positionOf returns the position that another router announced. One of an older build announces only its
// version, which is taken as being of the given era.
func positionOf(a *schema.Announcement, era registry.Era) registry.Position {
	decode := func(number uint64) registry.Revision { return registry.DecodeRevision(a.UpstreamEra, number, era) }
	version := decode(a.GetUpstreamRevision())
	return registry.Position{
		Version: version, Known: max(decode(a.GetUpstreamKnown()), version), Base: decode(a.GetUpstreamBase()),
		Latest: max(decode(a.GetUpstreamLatest()), version), Digest: registry.Digest(a.GetUpstreamDigest()),
	}
}

// handleUpstreamPosition fetches what another router's list of upstreams has and this one's lacks.
func (m *mesh) handleUpstreamPosition(from fleet.RouterID, theirs registry.Position) {
	own := m.state.upstreamPosition()
	switch own.NeedFrom(theirs) {
	case registry.NeedChanges:
		if theirs.Version > own.Known {
			m.upstreamPuller.handleAnnouncement(from, uint64(theirs.Version), m.pullDelay())
			return // the answer also has what is beyond the version
		}
		m.latestPuller.handleAnnouncement(from, uint64(theirs.Latest), m.pullDelay())
	case registry.NeedList, registry.NeedRead:
		m.scheduleListCheck(from, theirs)
	case registry.NeedNothing:
	}
}

func (m *mesh) scheduleListCheck(from fleet.RouterID, theirs registry.Position) {
	time.AfterFunc(listCheckDelay+rand.N(listCheckDelay), func() {
		m.guard.Run(recovery.Update, func() { m.checkList(from, theirs) }, "other", from)
	})
}

// checkList acts on a difference between this router's list and another one's that has not been resolved
// meanwhile.
func (m *mesh) checkList(from fleet.RouterID, theirs registry.Position) {
	own := m.state.upstreamPosition()
	switch own.NeedFrom(theirs) {
	case registry.NeedList:
		m.fetchList(from, own, theirs)
	case registry.NeedRead:
		if m.lists.requestRead(time.Now()) {
			m.log.Warn("lists of upstreams contradict each other", "other", from, "era", own.Known.Era(), "revision", own.Version.Number(), "known", own.Known.Number(),
				"other-known", theirs.Known.Number())
		}
	case registry.NeedNothing, registry.NeedChanges:
	}
}

// fetchList fetches the whole list of upstreams from another router, one at a time, and checks it again if
// that fails while the router is connected.
func (m *mesh) fetchList(from fleet.RouterID, own, theirs registry.Position) {
	if !m.lists.isFetching.CompareAndSwap(false, true) {
		return
	}
	defer m.lists.isFetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	size, err := m.fetchUpstreams(ctx, from, uint64(own.Known))
	m.log.Info("asked another router", "other", from, "update", "whole list of upstreams", "error", err, "before", own.Known.Number(),
		"now", m.state.upstreamPosition().Known.Number(), "other-base", theirs.Base.Number(), "era", theirs.Known.Era(), "bytes", size)
	var gone *peer.NotConnectedError
	if err != nil && !errors.As(err, &gone) {
		m.scheduleListCheck(from, theirs)
	}
}
