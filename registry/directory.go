package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// entry is the state of one upstream id.
type entry struct {
	change Change
	// deferred is the removal of the entry while it may still return, else nil.
	deferred *deferredRemoval
	// readyAt is the revision at which an upstream that is leaving was last ready, zero if that isn't known.
	readyAt Revision
	// isKept is set if the upstream has left and the store's list, restored from a copy, still names it.
	isKept bool
}

// supersedes reports whether a change is older than the entry, or already in it.
func (e entry) supersedes(c Change) bool { return c.Revision <= e.change.Revision && !c.prevails(e) }

// Directory is one router's copy of the list. Its zero value is empty. It is safe
// for concurrent use.
type Directory struct {
	mu       sync.Mutex
	entries  map[fleet.UpstreamID]entry
	outage   outage
	frontier frontier
	loaded   bool
	// latest is the revision of the latest change that took effect, and highest that of all entries,
	// which writes that change nothing raise. digest is that of all entries.
	latest, highest Revision
	digest          Digest
	// deferredCount is the number of entries whose removal is deferred.
	deferredCount int
	// deferrals are the removals that were deferred since TakeDeferrals was last called.
	deferrals []Deferral
	// isEnteringEra is set while the first list of a new era is applied, which may be older than what is known.
	isEnteringEra bool
	// restore is what was found when a new era began, until TakeRestore is called.
	restore *Restore
}

// Replace applies a full read of the list as of a revision: entries that it lacks
// and that were written before are removed. It returns the changes that took effect.
func (d *Directory) Replace(now time.Time, list []Change, revision Revision) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replace(now, list, revision, false)
}

func (d *Directory) replace(now time.Time, list []Change, revision Revision, confirmed bool) []Change {
	switch {
	case revision.Era() < d.era():
		return nil // a late answer from before a restore
	case revision.Era() > d.era():
		d.enterEra(now, revision.Era())
		confirmed = false // what another router never knew may return
		d.isEnteringEra = true
		defer func() { d.isEnteringEra = false }()
	}
	d.loaded = true
	before := d.frontier.known
	listed := make(map[fleet.UpstreamID]bool, len(list))
	var changed []Change
	var newest Revision
	for _, c := range list {
		listed[c.Upstream.ID] = !c.Removed // a removal that another router names may be followed by later ones
		if c.Revision <= revision {        // a later page may have later changes, and not all of them
			newest = max(newest, c.Revision)
		}
		effective, _ := d.applyOne(now, c, c.Revision, confirmed)
		changed = append(changed, effective...)
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[id]
		if listed[id] || e.change.Removed || e.change.Revision > revision {
			continue
		}
		newest = revision // the revision of the removal isn't known
		first := max(e.change.Revision, min(before, revision-1)) + 1
		removal := Change{Upstream: e.change.Upstream, Revision: revision, Removed: true, ReadAt: now}
		effective, _ := d.applyOne(now, removal, first, confirmed)
		changed = append(changed, effective...)
	}
	d.frontier.extendWhole(revision, newest)
	if d.restore != nil {
		d.restore.After = revision
	}
	return changed
}

// Apply applies changes from the platform's feed. It returns those that were newer
// and took effect.
func (d *Directory) Apply(now time.Time, changes []Change) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []Change
	for _, c := range changes {
		effective, repeated := d.applyOne(now, c, c.Revision, false)
		changed = append(changed, effective...)
		if repeated {
			d.frontier.extend(c.Revision, 0)
			continue
		}
		d.frontier.extend(c.Revision, c.Revision)
	}
	return changed
}

// Advance records that all changes up to a revision have been received.
func (d *Directory) Advance(revision Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frontier.extend(revision, 0)
}

// applyOne applies a change and returns it if it took effect, and whether it only repeated
// what was known. A removal happened between first and the revision of the change; a confirmed one has
// no grace period.
func (d *Directory) applyOne(now time.Time, c Change, first Revision, confirmed bool) (effective []Change, repeated bool) {
	previous, known := d.entries[c.Upstream.ID]
	if !known {
		previous.change.Removed = true
	}
	if previous.change.Removed && c.Revision <= d.frontier.base {
		return nil, false // removed since, or it would have been in the whole list
	}
	c.Upstream.Software = previous.softwareOf(c)
	switch {
	case known && d.isEnteringEra && previous.supersedesCopy(c):
		d.keepAgainstCopy(previous, c)
		return nil, false
	case known && previous.supersedes(c):
		return d.overlook(now, previous, c)
	case c.Removed:
		return d.remove(now, previous, c, first, confirmed), false
	case previous.deferred != nil && c.Revision <= previous.deferred.last:
		previous.change = c // an earlier change than the removal
		return d.takeEffect(previous), false
	case known && previous.deferred == nil && isRepetition(now, previous.change, c):
		previous.change.Revision, previous.isKept = c.Revision, false
		d.set(previous)
		return nil, true
	}
	return d.takeEffect(entry{change: c, readyAt: previous.readyBefore(c)}), false
}

// overlook handles a change that is older than the entry, or already in it.
func (d *Directory) overlook(now time.Time, e entry, c Change) (effective []Change, repeated bool) {
	repeated = isRepetition(now, e.change, c)
	if !repeated {
		d.frontier.addOverlooked(c.Revision, e.change.Revision)
	}
	return d.addSoftware(e, c), repeated
}

// remove applies the removal of an entry.
func (d *Directory) remove(now time.Time, previous entry, c Change, first Revision, confirmed bool) []Change {
	isListed := !previous.change.Removed
	switch {
	case previous.deferred != nil && !confirmed:
		previous.deferred.last = max(previous.deferred.last, c.Revision)
		return nil
	case isListed && !confirmed && d.outage.mayReturn(now, previous.change.Upstream):
		previous.deferred = d.outage.deferRemoval(now, first, c.Revision, c.ReadAt)
		d.set(previous)
		d.deferrals = append(d.deferrals, Deferral{Upstream: c.Upstream.ID, Revision: c.Revision, Until: previous.deferred.due})
		return nil
	case previous.deferred != nil:
		c.Revision = max(c.Revision, previous.deferred.last)
	}
	if previous.change.Upstream.ID == c.Upstream.ID {
		c.Upstream = previous.change.Upstream // the removal itself names only the id
	}
	return d.takeEffect(entry{change: c, readyAt: previous.readyBefore(c)})
}

// takeEffect stores the state of an entry with a change that takes effect, and returns the change.
func (d *Directory) takeEffect(e entry) []Change {
	d.set(e)
	d.latest = max(d.latest, e.change.Revision)
	return []Change{e.change}
}

// set stores the state of an entry.
func (d *Directory) set(e entry) {
	if d.entries == nil {
		d.entries = make(map[fleet.UpstreamID]entry)
	}
	id := e.change.Upstream.ID
	if previous, known := d.entries[id]; known {
		d.digest ^= digestOf(previous.change)
		if previous.deferred != nil {
			d.deferredCount--
		}
	}
	if e.deferred != nil {
		d.deferredCount++
	}
	d.digest ^= digestOf(e.change)
	d.highest = max(d.highest, e.change.Revision)
	d.entries[id] = e
}

// deferred returns the entries whose removal is deferred, in the order of their ids.
func (d *Directory) deferred() []entry {
	if d.deferredCount == 0 {
		return nil // as mostly; routers ask for the position often
	}
	var out []entry
	for _, e := range d.entries {
		if e.deferred != nil {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b entry) int {
		return strings.Compare(string(a.change.Upstream.ID), string(b.change.Upstream.ID))
	})
	return out
}

// position returns what the list is up to date with. Deferred removals limit it, because other routers may
// already have confirmed them.
func (d *Directory) position() Position {
	p := Position{Version: d.frontier.newest, Known: d.frontier.known, Base: d.frontier.base, Latest: d.latest}
	for _, e := range d.deferred() {
		p.Known = min(p.Known, e.deferred.first-1)
	}
	p.Version = min(p.Version, p.Known)
	if d.deferredCount == 0 && d.latest <= p.Version && d.highest <= p.Known {
		p.Digest = ^d.digest // so that it isn't zero for an empty list
	}
	return p
}

// Position returns what the list is up to date with.
func (d *Directory) Position() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position()
}

// SettledRevision returns the revision of the latest change up to which all changes have taken effect.
func (d *Directory) SettledRevision() Revision { return d.Position().Version }

// Latest returns the revision of the latest change that took effect.
func (d *Directory) Latest() Revision { return d.Position().Latest }

// NextRemoval returns when the next deferred removal is due, and whether there is one.
func (d *Directory) NextRemoval() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first time.Time
	for _, e := range d.deferred() {
		if e.deferred.due.IsZero() {
			continue
		}
		if first.IsZero() || e.deferred.due.Before(first) {
			first = e.deferred.due
		}
	}
	return first, !first.IsZero()
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
func (d *Directory) SetUnavailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage.begin()
	for _, e := range d.deferred() {
		e.deferred.pause(now)
	}
}

// SetAvailable records that the list can be read again.
func (d *Directory) SetAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.outage.unavailable {
		return
	}
	d.outage.end(now)
	for _, e := range d.deferred() {
		e.deferred.resume(now)
	}
}

// IsUnavailable reports whether the list can't be read.
func (d *Directory) IsUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outage.unavailable
}

// RemoveDue applies the deferred removals that are due, and returns them.
func (d *Directory) RemoveDue(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var removals []Change
	for _, e := range d.deferred() {
		if !e.deferred.isDue(now) {
			continue
		}
		removal := Change{Upstream: e.change.Upstream, Revision: e.deferred.last, Removed: true, ReadAt: e.deferred.readAt}
		removals = append(removals, d.takeEffect(entry{change: removal, readyAt: e.lastReady(), isKept: e.isKept})...)
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

// Changes returns the latest change of every entry, removals included unless they are deferred.
func (d *Directory) Changes() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Change, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e.change)
	}
	return all
}

// SoftwareVersions returns the software versions of all listed upstreams by service, draining ones
// included, and the earliest start of an upstream of each. It is zero if none of them states its start.
func (d *Directory) SoftwareVersions() map[fleet.ServiceID]map[fleet.SoftwareVersion]StartTime {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[fleet.ServiceID]map[fleet.SoftwareVersion]StartTime)
	for _, e := range d.entries {
		u := e.change.Upstream
		if e.change.Removed {
			continue
		}
		if listed[u.Service] == nil {
			listed[u.Service] = make(map[fleet.SoftwareVersion]StartTime)
		}
		earliest := listed[u.Service][u.Software]
		if earliest == 0 || (u.StartTime > 0 && u.StartTime < earliest) {
			earliest = u.StartTime
		}
		listed[u.Service][u.Software] = earliest
	}
	return listed
}

// Ready returns the upstreams that accept new requests, by service and sorted by id.
func (d *Directory) Ready() map[fleet.ServiceID][]Upstream { return d.listed(false) }

// Draining returns the upstreams that only finish their requests, by service and sorted by id.
func (d *Directory) Draining() map[fleet.ServiceID][]Upstream { return d.listed(true) }

// listed returns the upstreams that haven't been removed and drain, or don't.
func (d *Directory) listed(draining bool) map[fleet.ServiceID][]Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	byService := make(map[fleet.ServiceID][]Upstream)
	for _, e := range d.entries {
		u := e.change.Upstream
		if e.change.Removed || u.Draining != draining {
			continue
		}
		byService[u.Service] = append(byService[u.Service], u)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return byService
}
