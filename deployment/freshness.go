package deployment

import (
	"cmp"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
)

// confirmUpstreams records that the list of upstreams was current at a time.
func (s *State) confirmUpstreams(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.listConfirmedAt) {
		s.listConfirmedAt = at
	}
}

// advanceUpstreams records that the store has told all changes of the list of upstreams up to a
// revision.
func (s *State) advanceUpstreams(revision registry.Revision) {
	s.directory.Advance(revision)
	s.confirmUpstreams(time.Now())
}

// listAge returns how long ago the list of upstreams was confirmed to be current, and false if it
// never was.
func (s *State) listAge(now time.Time) (time.Duration, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return now.Sub(s.listConfirmedAt), !s.listConfirmedAt.IsZero()
}

// listIsCurrent reports whether the list of upstreams was confirmed recently.
func (s *State) listIsCurrent(now time.Time) bool {
	age, confirmed := s.listAge(now)
	return confirmed && age <= cmp.Or(s.options.RecoveryTime, follow.DefaultRecovery)
}

// reachesMajority reports whether this router is connected with most of the fleet.
func (s *State) reachesMajority() bool { return s.coldOwnership.ReachesMajority() }

// softwareOf returns the software version of an upstream that has just answered. It is empty if the
// upstream has restarted with another version meanwhile, because either process may have answered.
func (s *State) softwareOf(u registry.Upstream) fleet.SoftwareVersion {
	latest, known := s.directory.Get(u.ID)
	switch {
	case !known:
		return u.Software
	case latest.Upstream.Software == u.Software || latest.Upstream.StartTime == u.StartTime && u.Software == "":
		return latest.Upstream.Software
	case latest.Upstream.Software == "":
		return u.Software
	}
	return ""
}

// longestStreamOf returns the longest timeout of a route whose streams can be taken up again.
func longestStreamOf(c route.Configuration) time.Duration {
	var longest time.Duration
	for _, r := range c.Routes {
		if r.Kind == route.Streaming && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}
