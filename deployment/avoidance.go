package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// RecordLeaving records that the answer to a request states that its upstream is leaving.
func (s *State) RecordLeaving(now time.Time, u registry.Upstream, request fleet.RequestID) {
	if s.avoided.RecordLeaving(now, turn.InstanceOf(u)) {
		s.options.Log.Info("upstream states that it is leaving", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"life", u.StartTime, "request", request)
	}
}

// RecordBackoff records that the answer to a request asks this router to send its upstream nothing for a
// while.
func (s *State) RecordBackoff(now time.Time, u registry.Upstream, backoff time.Duration, request fleet.RequestID) {
	until, began := s.avoided.RecordBackoff(now, turn.InstanceOf(u), backoff)
	if began {
		s.options.Log.Info("upstream asks for a backoff", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"life", u.StartTime, "for-ms", until.Sub(now).Milliseconds(), "request", request)
	}
}

// Avoided returns why an upstream must not be sent requests now, and whether that is so.
func (s *State) Avoided(now time.Time, u registry.Upstream) (avoidance.Term, bool) {
	return s.avoided.Find(now, turn.InstanceOf(u))
}

// expireAvoided drops what upstreams have stated and is over.
func (s *State) expireAvoided(now time.Time) {
	for _, e := range s.avoided.Expire(now, s.isListed) {
		s.options.Log.Info("upstream is no longer avoided", "upstream", e.Key.ID, "life", e.Key.StartTime, "why", e.Term.Reason,
			"lasted-ms", e.Term.Until.Sub(e.Term.Since).Milliseconds())
	}
}

// isListed reports whether the list has the process of an upstream.
func (s *State) isListed(i turn.Instance) bool {
	c, known := s.directory.Get(i.ID)
	return known && !c.Removed && c.Upstream.StartTime == i.StartTime
}
