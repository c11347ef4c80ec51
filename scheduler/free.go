package scheduler

import (
	"math/rand/v2"
	"time"

	"nutmeglock.example/nutmeglock/fanout"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// freeAnnouncer tells other routers of idle slots here. Work asks at a few
// dispatchers only; without the announcement a slot at another would stay idle
// while that work waits.
type freeAnnouncer struct {
	services map[fleet.Number]*announcement
}

type announcement struct {
	slots int
	next  time.Time
	pause time.Duration
}

// Pace of announcements of one service.
const (
	// firstPause is after the first announcement of idle slots, a few round trips.
	firstPause = 20 * time.Millisecond
	// longestPause is reached when nobody asks, as while the whole fleet has
	// room. It bounds how long work that was asked at fanout.Most dispatchers in
	// vain waits beside an idle slot.
	longestPause = 5 * time.Second
	// announceTo is how many routers are told at once, chosen at random.
	announceTo = 5
)

func newFreeAnnouncer() freeAnnouncer {
	return freeAnnouncer{services: make(map[fleet.Number]*announcement)}
}

// asked takes note that somebody asks for a service: the next idle slots are
// announced without delay.
func (f *freeAnnouncer) asked(service fleet.Number) {
	if a := f.services[service]; a != nil {
		a.pause = firstPause
	}
}

func (f *freeAnnouncer) tick(s *Scheduler, now time.Time) {
	others := s.connected()
	if s.sharing == StaticShare || len(others) < fanout.Most {
		// Work that waits is asked at every dispatcher as it is.
		return
	}
	idle := s.slots.Idle(now)
	for service, a := range f.services {
		if idle[service] == 0 {
			a.slots = 0
			a.pause = firstPause
		}
	}
	for service, count := range idle {
		a := f.services[service]
		if a == nil {
			a = &announcement{pause: firstPause}
			f.services[service] = a
		}
		a.slots = count
		if s.slots.Unmet(service) || now.Before(a.next) {
			continue
		}
		announce(s, others, service, count)
		a.next = now.Add(a.pause)
		a.pause = min(2*a.pause, longestPause)
	}
}

func announce(s *Scheduler, others []fleet.RouterID, service fleet.Number, count int) {
	for i, at := range rand.Perm(len(others)) {
		if i >= announceTo {
			return
		}
		out := s.outbox.to(others[at])
		out.Free = append(out.Free, &schema.Free{Service: uint32(service), Slots: clampUint32(count)})
	}
}
