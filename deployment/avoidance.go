package deployment

import (
	"math/rand/v2"
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// maxBackoffSpread and backoffSpreadFraction bound by how much a router extends a backoff, so that all routers which an
// upstream has turned away at once don't come back at once.
const (
	maxBackoffSpread      = 500 * time.Millisecond
	backoffSpreadFraction = 8
	// loggedExtension is by how much a backoff has to become longer for a further line.
	loggedExtension = 10 * time.Second
)

// RecordLeaving records that the answer to a request states that its upstream is leaving, and tells other routers.
func (s *State) RecordLeaving(now time.Time, u registry.Upstream, request fleet.RequestID) {
	instance := turn.InstanceOf(u)
	if !s.avoided.RecordLeaving(now, instance) {
		return
	}
	s.options.Log.Info("upstream states that it is leaving", "upstream", u.ID, "service", u.Service, "address", u.Address,
		"life", u.StartTime, "from", "answer", "request", request)
	if s.coordinator != nil {
		s.coordinator.AnnounceLeaving(u.Service, instance)
	}
	s.dropLeaving(now)
}

// observeLeaving records that another router has heard from upstreams that they are leaving.
func (s *State) observeLeaving(from fleet.RouterID, leaving []*schema.UpstreamLife) {
	now, isNew := time.Now(), false
	for _, l := range leaving {
		instance := turn.DecodeInstance(l)
		if !s.isListed(instance) || !s.avoided.RecordLeaving(now, instance) {
			continue
		}
		isNew = true
		s.options.Log.Info("upstream states that it is leaving", "upstream", instance.ID, "life", instance.StartTime, "from", routerSource(from))
	}
	if isNew {
		s.dropLeaving(now)
	}
}

// dropLeaving takes leaving upstreams out of the pools.
func (s *State) dropLeaving(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshPools(now)
}

// withoutLeaving returns the upstreams that haven't stated that they are leaving.
func (s *State) withoutLeaving(now time.Time, upstreams []registry.Upstream) []registry.Upstream {
	if s.avoided.IsEmpty() {
		return upstreams
	}
	kept := make([]registry.Upstream, 0, len(upstreams))
	for i := range upstreams {
		if term, avoided := s.avoided.Find(now, turn.InstanceOf(upstreams[i])); avoided && term.Reason == avoidance.Leaving {
			continue
		}
		kept = append(kept, upstreams[i])
	}
	return kept
}

// leavingUpstreams returns the listed upstreams that have stated that they are leaving, for a router that has just
// connected.
func (s *State) leavingUpstreams() []*schema.UpstreamLife {
	if s.avoided.IsEmpty() {
		return nil
	}
	var out []*schema.UpstreamLife
	for _, instance := range s.avoided.Leaving() {
		if s.isListed(instance) {
			out = append(out, turn.EncodeInstance(instance))
		}
	}
	return out
}

// RecordBackoff records that the answer to a request asks this router to send its upstream nothing for a
// while.
func (s *State) RecordBackoff(now time.Time, u registry.Upstream, backoff time.Duration, request fleet.RequestID) {
	instance := turn.InstanceOf(u)
	spread := rand.N(min(backoff/backoffSpreadFraction, maxBackoffSpread) + 1)
	before, _ := s.avoided.Find(now, instance)
	until, began := s.avoided.RecordBackoff(now, instance, backoff+spread)
	if began || until.Sub(before.Until) > loggedExtension {
		s.options.Log.Info("upstream asks for a backoff", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"life", u.StartTime, "asked-ms", backoff.Milliseconds(), "until-ms", until.Sub(now).Milliseconds(), "request", request)
	}
	pool := s.Pool(u.Service)
	if pool == nil {
		return
	}
	pool.ApplyBackoff(now, instance, until)
	if began {
		s.wakeAfterBackoff(pool, instance, until)
	}
}

// wakeAfterBackoff starts the requests that wait for an upstream once its backoff is over.
func (s *State) wakeAfterBackoff(pool *turn.Pool, i turn.Instance, until time.Time) {
	time.AfterFunc(time.Until(until), func() {
		s.options.Guard.RunControl(func() {
			now := time.Now()
			if term, avoided := s.avoided.Find(now, i); avoided && term.Reason == avoidance.Backoff {
				s.wakeAfterBackoff(pool, i, term.Until) // it was extended
				return
			}
			pool.Wake(now)
		})
	})
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
