package registry

import "time"

// Answer is what a directory tells another router.
type Answer struct {
	Changes []Change
	// Version and Known are those of the directory's Position. All changes up to Known after
	// the revision that was asked for are among Changes.
	Version, Known Revision
	// Whole is set if Changes are the whole list: an entry that isn't among them has been removed.
	// It has removals, too, as far as the directory knows them.
	Whole bool
}

// After returns what has changed after a revision.
func (d *Directory) After(revision Revision) Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.position()
	a := Answer{Version: p.Version, Known: p.Known, Whole: revision < p.Base}
	for _, e := range d.entries {
		if e.change.Revision > revision || (a.Whole && !e.change.Removed) {
			a.Changes = append(a.Changes, e.change)
		}
	}
	return a
}

// ApplyFromPeer applies the answer of another router, which has already waited for entries
// to return. It returns the changes that took effect.
func (d *Directory) ApplyFromPeer(now time.Time, a Answer) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.Known = max(a.Known, a.Version) // an older build tells only its version
	if a.Whole {
		changed := d.replace(now, a.Changes, a.Known, true)
		d.narrowDeferrals(a.Known)
		return changed
	}
	if a.Known.Era() > d.era() {
		return nil // the changes of a new era say nothing without its list
	}
	var changed []Change
	for _, c := range a.Changes {
		effective, _ := d.applyOne(now, c, c.Revision, true)
		changed = append(changed, effective...)
	}
	d.loaded = d.loaded || len(a.Changes) > 0
	d.frontier.extend(a.Known, a.Version)
	d.narrowDeferrals(a.Known)
	return changed
}

// ApplyKept applies changes that another router has kept from before a restore. It returns those that took effect.
func (d *Directory) ApplyKept(now time.Time, kept []Change) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []Change
	for _, c := range kept {
		e, known := d.entries[c.Upstream.ID]
		if known && e.change.isLeaving() && c.Upstream.StartTime == e.change.Upstream.StartTime {
			if c.Revision > e.change.Revision {
				e.change.Revision, e.isKept = c.Revision, true
				d.set(e)
			}
			continue
		}
		effective, _ := d.applyOne(now, c, c.Revision, true)
		changed = append(changed, effective...)
	}
	return changed
}

// narrowDeferrals records that the entries whose removal is deferred were still listed at a revision, since
// another router that knows all changes up to it did not tell their removal.
func (d *Directory) narrowDeferrals(known Revision) {
	for _, e := range d.deferred() {
		e.deferred.first = min(max(e.deferred.first, known+1), e.deferred.last)
	}
}
