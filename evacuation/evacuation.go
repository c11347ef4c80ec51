// Package evacuation holds which data centres are evacuated: their upstreams get no new
// requests until the operator ends the evacuation.
//
// News of an evacuation come from the platform's store and from other routers, in any
// order. Each carries the revision at which the store wrote it, and the highest revision
// wins, so that nothing older undoes it.
package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// Change is the start of an evacuation, or its end if Ended is set.
type Change struct {
	DataCenter fleet.DataCenterID
	Revision   registry.Revision
	Ended      bool
}

// RestoreGrace is how long an evacuation stays in force that the store's list lacks after a restore from a copy. The operator
// writes it again meanwhile, or has ended it.
const RestoreGrace = 10 * time.Second

// entry is the latest change of one data centre.
type entry struct {
	change Change
	// endedAt is when this router learnt of the end.
	endedAt time.Time
	// beganAt is the revision at which an evacuation that has ended had begun, zero if that isn't known.
	beganAt registry.Revision
	// lapsesAt is when an evacuation ends that a restored list lacks; zero if it doesn't.
	lapsesAt time.Time
}

// supersedesCopy reports whether a change in a restored list is older than the end that is known of an evacuation.
func (e entry) supersedesCopy(c Change) bool {
	if c.Revision.Era() == e.change.Revision.Era() || c.Ended || !e.change.Ended {
		return false
	}
	return c.Revision.Number() < e.change.Revision.Number() && (e.beganAt == 0 || c.Revision.Number() <= e.beganAt.Number())
}

// Set is one router's copy of the evacuations. Its zero value has none. It is safe for
// concurrent use.
type Set struct {
	mu      sync.Mutex
	entries map[fleet.DataCenterID]entry
	// listed is the revision of the latest list that was read.
	listed registry.Revision
}

// Apply applies changes and returns those that were newer and took effect.
func (s *Set) Apply(now time.Time, changes []Change) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(now, changes)
}

// Replace applies the evacuations that are in force as of a revision: all others that began
// before have ended. It returns the changes that took effect. After a restore from a copy, one that the list lacks stays in force for
// RestoreGrace.
func (s *Set) Replace(now time.Time, inForce []Change, revision registry.Revision) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision.Era() < s.listed.Era() {
		return nil // a late answer from before a restore
	}
	wasRestored := s.listed != 0 && revision.Era() > s.listed.Era()
	s.listed = max(s.listed, revision)
	changes := slices.Clone(inForce)
	if wasRestored {
		changes = slices.DeleteFunc(changes, func(c Change) bool { return s.keepsEnd(c, revision) })
	}
	for id, e := range s.entries {
		listed := slices.ContainsFunc(inForce, func(c Change) bool { return c.DataCenter == id })
		switch {
		case listed || e.change.Ended:
		case wasRestored:
			e.lapsesAt = now.Add(RestoreGrace)
			s.entries[id] = e
		case e.lapsesAt.IsZero() || !now.Before(e.lapsesAt):
			changes = append(changes, Change{DataCenter: id, Revision: revision, Ended: true})
		}
	}
	return s.apply(now, changes)
}

// keepsEnd reports whether the end that is known of an evacuation is later than its start in a restored list. The end then holds as of
// the list.
func (s *Set) keepsEnd(c Change, as registry.Revision) bool {
	e, known := s.entries[c.DataCenter]
	if !known || !e.supersedesCopy(c) {
		return false
	}
	e.change.Revision = as
	s.entries[c.DataCenter] = e
	return true
}

// NextLapse returns when the next evacuation ends that a restored list lacks, and whether there is one.
func (s *Set) NextLapse() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	for _, e := range s.entries {
		if !e.lapsesAt.IsZero() && (next.IsZero() || e.lapsesAt.Before(next)) {
			next = e.lapsesAt
		}
	}
	return next, !next.IsZero()
}

// Lapse ends the evacuations that were lacking in a restored list for RestoreGrace, and returns their ends.
func (s *Set) Lapse(now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for id, e := range s.entries {
		if !e.lapsesAt.IsZero() && !now.Before(e.lapsesAt) {
			changes = append(changes, Change{DataCenter: id, Revision: max(s.listed, e.change.Revision+1), Ended: true})
		}
	}
	return s.apply(now, changes)
}

// ApplyAll applies all changes that another router knows. An evacuation that is in force here and that it has
// never heard of ended before that router read the list, unless the store was restored meanwhile.
func (s *Set) ApplyAll(now time.Time, all []Change) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := slices.Clone(all)
	var latest registry.Revision
	for _, c := range all {
		latest = max(latest, c.Revision)
	}
	for id, e := range s.entries {
		known := slices.ContainsFunc(all, func(c Change) bool { return c.DataCenter == id })
		if !known && !e.change.Ended && e.change.Revision < latest && e.change.Revision.Era() == latest.Era() {
			changes = append(changes, Change{DataCenter: id, Revision: latest, Ended: true})
		}
	}
	return s.apply(now, changes)
}

func (s *Set) apply(now time.Time, changes []Change) []Change {
	if s.entries == nil {
		s.entries = make(map[fleet.DataCenterID]entry)
	}
	var effective []Change
	for _, c := range changes {
		previous, known := s.entries[c.DataCenter]
		if known && c.Revision <= previous.change.Revision {
			continue
		}
		e := entry{change: c}
		if c.Ended && known && !previous.change.Ended {
			e.endedAt = now
			e.beganAt = previous.change.Revision
		}
		s.entries[c.DataCenter] = e
		if known && !c.Ended && !previous.change.Ended {
			continue // the same again
		}
		effective = append(effective, c)
	}
	return effective
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *Set) IsEvacuated(id fleet.DataCenterID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	return known && !e.change.Ended
}

// EndedAt returns when the evacuation of a data centre ended here, the zero time if there
// was none.
func (s *Set) EndedAt(id fleet.DataCenterID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[id].endedAt
}

// Revision returns the revision of the latest change that took effect.
func (s *Set) Revision() registry.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest registry.Revision
	for _, e := range s.entries {
		latest = max(latest, e.change.Revision)
	}
	return latest
}

// Changes returns the latest change of each data centre, sorted by id.
func (s *Set) Changes() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Change, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e.change)
	}
	slices.SortFunc(all, func(a, b Change) int { return cmp.Compare(a.DataCenter, b.DataCenter) })
	return all
}
