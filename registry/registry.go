// Package registry holds one router's copy of the list of upstreams, which
// register themselves with the platform.
//
// The list comes from several sources: the platform's feed, full reads after a
// gap, and other routers. Each entry carries the revision at which the platform
// stored it, and the highest revision wins. Without revisions a delayed reply
// would restore an upstream that has left.
package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// outageGrace is how long an entry that vanished during an outage is kept once the
// list can be read again. Upstreams register again within about two seconds; the
// rest allows for the transfer to this router.
const outageGrace = 2200 * time.Millisecond

// An entry that vanishes later than catchUpWindow after the end of an outage was
// removed while the list could be read. It may still have expired, if its upstream
// was slow to register again, but has more probably left, and an upstream must get
// no new requests two seconds after it left. So the entry is kept for
// lateRemovalGrace only.
const (
	catchUpWindow    = 300 * time.Millisecond
	lateRemovalGrace = 1400 * time.Millisecond
)

// Revision orders the changes to the platform's list.
type Revision uint64

// StartTime distinguishes successive starts of an upstream with the same id. It is in
// milliseconds since 1970.
type StartTime int64

// Upstream is an entry of the list.
type Upstream struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Address    string
	DataCenter fleet.DataCenterID
	Slots      int
	StartTime  StartTime
	// Software is the version of the upstream's software. It is empty if the entry comes from a
	// router that doesn't pass it on.
	Software fleet.SoftwareVersion
	// Draining upstreams finish their requests and accept no new ones.
	Draining bool
	// ColdUntil is when the upstream has started completely. Until then it tolerates only a
	// few requests a second.
	ColdUntil time.Time
}

// Change is the write of an entry, or its removal if Removed is set.
type Change struct {
	Upstream Upstream
	Revision Revision
	Removed  bool
	// ReadAt is when the first router read the change from the store; zero if unknown.
	ReadAt time.Time
}

// Deferral is a removal that does not take effect yet, because the entry may return.
type Deferral struct {
	Upstream fleet.UpstreamID
	Revision Revision
	// Until is when the removal takes effect; zero while the list can't be read.
	Until time.Time
}

// entry is the state of one upstream id.
type entry struct {
	change Change
	// removalPending is set while an entry that vanished during or after an outage
	// may still return. It is removed at removeAt; zero means not before the
	// list can be read again.
	removalPending bool
	removeAt       time.Time
}

// Directory is one router's copy of the list. Its zero value is empty. It is safe
// for concurrent use.
type Directory struct {
	mu          sync.Mutex
	entries     map[fleet.UpstreamID]entry
	unavailable bool
	// availableSince is when the list could be read again after an outage, and graceEnd
	// when the entries that vanished during the outage are removed.
	availableSince time.Time
	graceEnd       time.Time
	loaded         bool
	// latest is the revision of the latest change that took effect, and complete
	// the revision up to which all changes have been received.
	latest   Revision
	complete Revision
	// deferrals are the removals that were deferred since TakeDeferrals was last called.
	deferrals []Deferral
}

// Replace applies a full read of the list as of a revision: entries that it lacks
// and that were written before are removed. It returns the changes that took effect.
func (d *Directory) Replace(now time.Time, list []Change, revision Revision) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loaded = true
	listed := make(map[fleet.UpstreamID]bool, len(list))
	var changed []Change
	for _, c := range list {
		listed[c.Upstream.ID] = true
		effective, _ := d.applyOne(now, c, false)
		changed = append(changed, effective...)
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[id]
		if listed[id] || e.change.Removed || e.change.Revision > revision {
			continue
		}
		removal := Change{Upstream: e.change.Upstream, Revision: revision, Removed: true, ReadAt: now}
		effective, _ := d.applyOne(now, removal, false)
		changed = append(changed, effective...)
	}
	d.complete = max(d.complete, d.latest)
	return changed
}

// Apply applies changes from the platform's feed. It returns those that were newer
// and took effect.
func (d *Directory) Apply(now time.Time, changes []Change) []Change {
	return d.applyAll(now, changes, false)
}

// ApplyFromPeer applies changes that took effect at another router, which has already
// waited for entries to return. Once they are applied, all changes up to complete
// have been received.
func (d *Directory) ApplyFromPeer(now time.Time, changes []Change, complete Revision) []Change {
	changed := d.applyAll(now, changes, true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = max(d.complete, complete)
	return changed
}

func (d *Directory) applyAll(now time.Time, changes []Change, confirmed bool) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []Change
	for _, c := range changes {
		effective, repeated := d.applyOne(now, c, confirmed)
		changed = append(changed, effective...)
		if !confirmed && !repeated {
			d.complete = max(d.complete, c.Revision)
		}
	}
	if confirmed && len(changes) > 0 {
		d.loaded = true
	}
	return changed
}

// Latest returns the revision of the latest change that took effect.
func (d *Directory) Latest() Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

// applyOne applies a change and returns it if it took effect, and whether it only repeated
// what was known. A confirmed removal has no grace period.
func (d *Directory) applyOne(now time.Time, c Change, confirmed bool) (effective []Change, repeated bool) {
	if d.entries == nil {
		d.entries = make(map[fleet.UpstreamID]entry)
	}
	previous, known := d.entries[c.Upstream.ID]
	c.Upstream.Software = previous.softwareOf(c)
	repeated = known && !previous.removalPending && isRepetition(now, previous.change, c)
	if known && previous.supersedes(c) {
		return d.addSoftware(previous, c), repeated
	}
	if repeated {
		previous.change.Revision = c.Revision
		d.entries[c.Upstream.ID] = previous
		return nil, true
	}
	if c.Removed && !confirmed && known && !previous.change.Removed && d.mayReturn(now, previous) {
		previous.removalPending = true
		previous.removeAt = d.removalTime(now)
		previous.change.Revision = c.Revision
		d.entries[c.Upstream.ID] = previous
		d.deferrals = append(d.deferrals, Deferral{Upstream: c.Upstream.ID, Revision: c.Revision, Until: previous.removeAt})
		return nil, false
	}
	if c.Removed && known {
		c.Upstream = previous.change.Upstream
	}
	d.entries[c.Upstream.ID] = entry{change: c}
	d.latest = max(d.latest, c.Revision)
	return []Change{c}, false
}

// supersedes reports whether a change is older than the entry, or already in it.
func (e entry) supersedes(c Change) bool {
	return c.Revision < e.change.Revision || (c.Revision == e.change.Revision && !e.removalPending)
}

// softwareOf returns the software version after a change. A router that doesn't know of versions
// passes changes on without them.
func (e entry) softwareOf(c Change) fleet.SoftwareVersion {
	if c.Upstream.Software == "" && c.Upstream.StartTime == e.change.Upstream.StartTime {
		return e.change.Upstream.Software
	}
	return c.Upstream.Software
}

// addSoftware adds the software version to an entry that lacks it, if an equally new change tells
// it. It returns the change of the entry, if any.
func (d *Directory) addSoftware(e entry, c Change) []Change {
	known := e.change
	if c.Revision != known.Revision || c.Removed || known.Removed || known.Upstream.Software != "" || c.Upstream.Software == "" {
		return nil
	}
	e.change.Upstream.Software = c.Upstream.Software
	d.entries[c.Upstream.ID] = e
	return []Change{e.change}
}

// coldUntilTolerance is the difference between two statements of how long an upstream is
// cold that says nothing.
const coldUntilTolerance = 500 * time.Millisecond

// isRepetition reports whether a change tells nothing new. While an upstream is cold, it
// writes its entry again with each heartbeat, to state how much longer it is cold, and passing
// that on to all routers would cost more than all other changes.
func isRepetition(now time.Time, previous, c Change) bool {
	before, after := previous.Upstream, c.Upstream
	difference := later(after.ColdUntil, now).Sub(later(before.ColdUntil, now)).Abs()
	before.ColdUntil, after.ColdUntil = time.Time{}, time.Time{}
	return !previous.Removed && !c.Removed && before == after && difference <= coldUntilTolerance
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayReturn reports whether an entry that vanishes now may only have expired because
// its upstream could not renew it. A draining upstream has left.
func (d *Directory) mayReturn(now time.Time, e entry) bool {
	return !e.change.Upstream.Draining && (d.unavailable || now.Before(d.graceEnd))
}

// removalTime returns when an entry that vanishes now is removed; the zero time
// while the list can't be read.
func (d *Directory) removalTime(now time.Time) time.Time {
	if d.unavailable {
		return time.Time{}
	}
	if now.Sub(d.availableSince) < catchUpWindow {
		return d.graceEnd
	}
	if latest := now.Add(lateRemovalGrace); latest.Before(d.graceEnd) {
		return latest
	}
	return d.graceEnd
}

// NextRemoval returns when the next pending removal is due, and whether there is one.
func (d *Directory) NextRemoval() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first time.Time
	for _, e := range d.entries {
		if !e.removalPending || e.removeAt.IsZero() {
			continue
		}
		if first.IsZero() || e.removeAt.Before(first) {
			first = e.removeAt
		}
	}
	return first, !first.IsZero()
}

// SettledRevision returns the revision up to which all changes have taken effect. Pending
// removals limit it, because another router may already have confirmed them.
func (d *Directory) SettledRevision() Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	settled := d.complete
	for _, e := range d.entries {
		if e.removalPending && e.change.Revision <= settled {
			settled = e.change.Revision - 1
		}
	}
	return settled
}

// TakeDeferrals returns the removals that were deferred since the last call.
func (d *Directory) TakeDeferrals() []Deferral {
	d.mu.Lock()
	defer d.mu.Unlock()
	deferrals := d.deferrals
	d.deferrals = nil
	return deferrals
}

// SetUnavailable records that the list can't be read. The known entries stay in effect.
func (d *Directory) SetUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = true
}

// SetAvailable records that the list can be read again.
func (d *Directory) SetAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.unavailable {
		return
	}
	d.unavailable = false
	d.availableSince = now
	d.graceEnd = now.Add(outageGrace)
	for id, e := range d.entries {
		if e.removalPending {
			e.removeAt = d.graceEnd
			d.entries[id] = e
		}
	}
}

// RemoveDue removes the entries whose pending removal is due, and returns the
// removals.
func (d *Directory) RemoveDue(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var removals []Change
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[id]
		if !e.removalPending || e.removeAt.IsZero() || now.Before(e.removeAt) {
			continue
		}
		e.removalPending = false
		e.change.Removed = true
		d.latest = max(d.latest, e.change.Revision)
		d.entries[id] = e
		removals = append(removals, e.change)
	}
	return removals
}

// Get returns the latest change of an entry, and whether there is one.
func (d *Directory) Get(id fleet.UpstreamID) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.entries[id]
	return e.change, known
}

// IsLoaded reports whether the list was ever read or received.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Changes returns the latest change of every entry, removals included, for a router
// that has to catch up. Entries whose removal is pending are left out.
func (d *Directory) Changes() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Change, 0, len(d.entries))
	for _, e := range d.entries {
		if !e.removalPending {
			all = append(all, e.change)
		}
	}
	return all
}

// SoftwareVersions returns the software versions of all listed upstreams by service, draining ones
// included.
func (d *Directory) SoftwareVersions() map[fleet.ServiceID]map[fleet.SoftwareVersion]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[fleet.ServiceID]map[fleet.SoftwareVersion]bool)
	for _, e := range d.entries {
		u := e.change.Upstream
		if e.change.Removed {
			continue
		}
		if listed[u.Service] == nil {
			listed[u.Service] = make(map[fleet.SoftwareVersion]bool)
		}
		listed[u.Service][u.Software] = true
	}
	return listed
}

// Ready returns the upstreams that accept new requests, by service and sorted by id.
func (d *Directory) Ready() map[fleet.ServiceID][]Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready := make(map[fleet.ServiceID][]Upstream)
	for _, e := range d.entries {
		u := e.change.Upstream
		if e.change.Removed || u.Draining {
			continue
		}
		ready[u.Service] = append(ready[u.Service], u)
	}
	for _, list := range ready {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return ready
}
