// Package registry holds the upstreams that register themselves at the
// platform, as one router knows them.
//
// The list comes from several sources: the platform's feed, whole reads after a
// gap, and other routers. Each entry has the revision at which the platform took
// it, and the newest revision wins. Without revisions a slow reply would bring back
// an upstream that has left.
package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// returnGrace is how long an entry that lapsed while the list was out of reach
// may take to come back once the list can be read again. Upstreams write their
// entries again within about two seconds; the rest is for the way to here.
const returnGrace = 2200 * time.Millisecond

// An entry that vanishes later than catchUp after the return was removed while
// the list could be read: it may still have lapsed, if its upstream was slow to
// come back, but has more probably left, and an upstream that has left must get
// nothing new two seconds after that. So it stays for lapseGrace only.
const (
	catchUp    = 300 * time.Millisecond
	lapseGrace = 1400 * time.Millisecond
)

// Revision orders the changes of the platform's list.
type Revision uint64

// Life tells the starts of an upstream under one id apart. It is the start in
// milliseconds since 1970.
type Life int64

// Upstream is an entry of the list.
type Upstream struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Address    string
	DataCenter fleet.DataCenterID
	Slots      int
	Life       Life
	// Draining upstreams end what they have and take nothing new.
	Draining bool
}

// Change says that an entry was written, or removed when Gone is set.
type Change struct {
	Upstream Upstream
	Revision Revision
	Gone     bool
}

// entry is what is known of one id.
type entry struct {
	change Change
	// lapsed is set while an entry that vanished in or after an outage may still
	// return, until then.
	lapsed bool
	until  time.Time
}

// Directory is the list as one router knows it. Its zero value is empty. It is
// safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[fleet.UpstreamID]entry
	away    bool
	// regained is when the list could be read again, and graceEnds until when
	// entries that lapsed before stay.
	regained  time.Time
	graceEnds time.Time
	known     bool
	// latest is the revision of the latest change that took effect, and complete
	// that up to which all changes are known.
	latest   Revision
	complete Revision
}

// Replace takes a whole read of the list as of a revision: what it lacks and
// was written before is gone. It returns what changed.
func (d *Directory) Replace(now time.Time, list []Change, as Revision) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = true
	listed := make(map[fleet.UpstreamID]bool, len(list))
	var changed []Change
	for _, c := range list {
		listed[c.Upstream.ID] = true
		changed = append(changed, d.take(now, c, false)...)
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[id]
		if listed[id] || e.change.Gone || e.change.Revision > as {
			continue
		}
		gone := Change{Upstream: e.change.Upstream, Revision: as, Gone: true}
		changed = append(changed, d.take(now, gone, false)...)
	}
	d.complete = max(d.complete, d.latest)
	return changed
}

// Apply takes single changes. It returns those that were newer and took effect.
func (d *Directory) Apply(now time.Time, changes []Change) []Change {
	return d.takeAll(now, changes, false)
}

// Receive takes changes that took effect at another router, which has already
// waited for entries that may return. Complete is the revision up to which they,
// and those that were known here, are all there are.
func (d *Directory) Receive(now time.Time, changes []Change, complete Revision) []Change {
	changed := d.takeAll(now, changes, true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = max(d.complete, complete)
	return changed
}

func (d *Directory) takeAll(now time.Time, changes []Change, settled bool) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []Change
	for _, c := range changes {
		changed = append(changed, d.take(now, c, settled)...)
		if !settled {
			d.complete = max(d.complete, c.Revision)
		}
	}
	if settled && len(changes) > 0 {
		d.known = true
	}
	return changed
}

// Latest returns the revision of the latest change that took effect.
func (d *Directory) Latest() Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

// take returns the change when it took effect.
func (d *Directory) take(now time.Time, c Change, settled bool) []Change {
	if d.entries == nil {
		d.entries = make(map[fleet.UpstreamID]entry)
	}
	before, known := d.entries[c.Upstream.ID]
	if known && (c.Revision < before.change.Revision || (c.Revision == before.change.Revision && !before.lapsed)) {
		return nil
	}
	if c.Gone && !settled && known && !before.change.Gone && d.mayReturn(now, before) {
		before.lapsed = true
		before.until = d.lapsesUntil(now)
		before.change.Revision = c.Revision
		d.entries[c.Upstream.ID] = before
		return nil
	}
	if c.Gone && known {
		c.Upstream = before.change.Upstream
	}
	d.entries[c.Upstream.ID] = entry{change: c}
	d.latest = max(d.latest, c.Revision)
	return []Change{c}
}

// mayReturn reports whether an entry that vanishes now may only have lapsed. An
// upstream that was draining has left.
func (d *Directory) mayReturn(now time.Time, e entry) bool {
	return !e.change.Upstream.Draining && (d.away || now.Before(d.graceEnds))
}

// lapsesUntil returns how long an entry that vanishes now stays; the zero time
// while the list can't be read.
func (d *Directory) lapsesUntil(now time.Time) time.Time {
	if d.away {
		return time.Time{}
	}
	if now.Sub(d.regained) < catchUp {
		return d.graceEnds
	}
	if latest := now.Add(lapseGrace); latest.Before(d.graceEnds) {
		return latest
	}
	return d.graceEnds
}

// Due returns when the first lapsed entry is gone, and whether there is one.
func (d *Directory) Due() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first time.Time
	for _, e := range d.entries {
		if !e.lapsed || e.until.IsZero() {
			continue
		}
		if first.IsZero() || e.until.Before(first) {
			first = e.until
		}
	}
	return first, !first.IsZero()
}

// Settled returns the revision up to which all changes have taken effect. It is
// lower while entries may have lapsed: another router may know better.
func (d *Directory) Settled() Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	settled := d.complete
	for _, e := range d.entries {
		if e.lapsed && e.change.Revision <= settled {
			settled = e.change.Revision - 1
		}
	}
	return settled
}

// Lost says that the list can't be read. What is known holds.
func (d *Directory) Lost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
}

// Regained says that the list can be read again.
func (d *Directory) Regained(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.away {
		return
	}
	d.away = false
	d.regained = now
	d.graceEnds = now.Add(returnGrace)
	for id, e := range d.entries {
		if e.lapsed {
			e.until = d.graceEnds
			d.entries[id] = e
		}
	}
}

// Settle takes the entries that lapsed and did not come back in time for gone,
// and returns them.
func (d *Directory) Settle(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []Change
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[id]
		if !e.lapsed || e.until.IsZero() || now.Before(e.until) {
			continue
		}
		e.lapsed = false
		e.change.Gone = true
		d.latest = max(d.latest, e.change.Revision)
		d.entries[id] = e
		gone = append(gone, e.change)
	}
	return gone
}

// Get returns the latest change of an entry, and whether there is one.
func (d *Directory) Get(id fleet.UpstreamID) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.entries[id]
	return e.change, known
}

// Known reports whether the list was ever read.
func (d *Directory) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Changes returns every entry with its revision, those that are gone included,
// for a router that has to catch up.
func (d *Directory) Changes() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Change, 0, len(d.entries))
	for _, e := range d.entries {
		if !e.lapsed {
			all = append(all, e.change)
		}
	}
	return all
}

// Ready returns the upstreams that take new work, by service and in the order
// of their ids.
func (d *Directory) Ready() map[fleet.ServiceID][]Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready := make(map[fleet.ServiceID][]Upstream)
	for _, e := range d.entries {
		u := e.change.Upstream
		if e.change.Gone || u.Draining {
			continue
		}
		ready[u.Service] = append(ready[u.Service], u)
	}
	for _, list := range ready {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return ready
}
