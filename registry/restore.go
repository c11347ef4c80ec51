package registry

import "time"

// Restore is what a directory found when it learned that the store was restored from a copy.
type Restore struct {
	// Before is the revision up to which the list was known before, and After as of which it was received then.
	Before, After Revision
	// Kept are the upstreams that have left, and that the copy still lists.
	Kept []Change
}

// TakeRestore returns the restore that was found since the last call, nil for none.
func (d *Directory) TakeRestore() *Restore {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.restore
	d.restore = nil
	return r
}

// Kept returns the upstreams that have left, and that the store's list, restored from a copy, still names.
func (d *Directory) Kept() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var kept []Change
	for _, e := range d.entries {
		if e.isKept && e.change.isLeaving() {
			kept = append(kept, e.change)
		}
	}
	return kept
}

// era returns the era of the changes that the directory has received.
func (d *Directory) era() Era { return d.frontier.known.Era() }

// enterEra begins a later era. Nothing is known of its changes yet. Entries that the list of the new era lacks may return,
// since their upstreams have to write them again.
func (d *Directory) enterEra(now time.Time, era Era) {
	wasLoaded, before := d.loaded, d.frontier.known
	d.frontier = frontier{known: era.First(), base: era.First(), newest: era.First()}
	for _, e := range d.deferred() {
		e.deferred.first = era.First() + 1
		e.deferred.last = max(e.deferred.last, e.deferred.first)
	}
	if !wasLoaded {
		return
	}
	if !d.outage.unavailable {
		d.outage.end(now)
	}
	d.restore = &Restore{Before: before}
}

// supersedesCopy reports whether the entry is newer than a change in the first list of a restored store. A change that is not
// from the copy has a number other than those that the copy can have: above the entry's, or above that at which the upstream was last ready.
func (e entry) supersedesCopy(c Change) bool {
	if c.Revision.Era() == e.change.Revision.Era() || c.Removed || c.Revision.Number() >= e.change.Revision.Number() && e.deferred == nil {
		return false
	}
	known := e.change.Upstream
	switch {
	case c.Upstream.StartTime != known.StartTime:
		return c.Upstream.StartTime < known.StartTime
	case !e.isLeaving() || c.Upstream.Draining && !e.change.Removed:
		return false
	}
	ready := e.lastReady()
	return ready == 0 || c.Revision.Number() <= ready.Number()
}

// keepAgainstCopy keeps the state of an entry as of an older change in a restored list. The next write of the upstream replaces it.
func (d *Directory) keepAgainstCopy(e entry, c Change) {
	e.change.Revision = c.Revision
	if e.deferred != nil {
		e.deferred.last = max(e.deferred.last, c.Revision)
	}
	e.isKept = e.isLeaving()
	d.set(e)
	if e.change.isLeaving() && d.restore != nil {
		d.restore.Kept = append(d.restore.Kept, e.change)
	}
}

// isLeaving reports whether an upstream drains or has left, or will have unless it returns.
func (e entry) isLeaving() bool { return e.change.isLeaving() || e.deferred != nil }

func (c Change) isLeaving() bool { return c.Removed || c.Upstream.Draining }

// readyBefore returns the revision at which the upstream's process was ready before a change, zero if that isn't known.
func (e entry) readyBefore(c Change) Revision {
	if c.Upstream.StartTime != e.change.Upstream.StartTime {
		return 0
	}
	return e.lastReady()
}

// lastReady returns the revision at which the upstream was last ready, zero if that isn't known.
func (e entry) lastReady() Revision {
	if !e.change.isLeaving() {
		return e.change.Revision
	}
	return e.readyAt
}

// prevails reports whether a change replaces an entry of the same revision. Only after a restore two routers may know
// different states of one revision, and then the one that has left is later.
func (c Change) prevails(e entry) bool {
	return c.Revision == e.change.Revision && c.isLeaving() && !e.change.isLeaving() &&
		c.Upstream.StartTime == e.change.Upstream.StartTime && c.Revision.Era() > 0
}
