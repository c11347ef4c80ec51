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
	// idle are the services with idle slots that nobody asks for.
	idle  map[fleet.Number]bool
	next  time.Time
	pause time.Duration
}

// Pace of announcements.
const (
	// firstPause is after the first announcement of idle slots, a few round trips.
	firstPause = 20 * time.Millisecond
	// longestPause is reached when nobody asks, as while the whole fleet has
	// room. It bounds how long work that was asked at fanout.Most dispatchers in
	// vain waits beside an idle slot. One service costs 70 bytes a second then.
	longestPause = time.Second
	// sparedServices is the number of services from which the longest pause
	// grows in proportion.
	sparedServices = 4
	// announceTo is how many routers are told at once, chosen at random.
	announceTo = 8
)

func newFreeAnnouncer() freeAnnouncer {
	return freeAnnouncer{idle: make(map[fleet.Number]bool), pause: firstPause}
}

func (f *freeAnnouncer) tick(s *Scheduler, now time.Time) {
	if s.sharing == StaticShare || len(s.routers) < fanout.Most {
		// Work that waits is asked at every dispatcher as it is.
		return
	}
	counts := s.slots.Idle(now)
	for service := range counts {
		if s.slots.Unmet(service) {
			delete(counts, service)
		}
	}
	for service := range f.idle {
		if counts[service] == 0 {
			delete(f.idle, service)
		}
	}
	for service := range counts {
		if !f.idle[service] {
			f.idle[service] = true
			f.pause, f.next = firstPause, now
		}
	}
	if len(counts) == 0 || now.Before(f.next) {
		return
	}
	announce(s, counts)
	f.next = now.Add(f.pause)
	f.pause = min(2*f.pause, longestPause*time.Duration(1+len(counts)/sparedServices))
}

func announce(s *Scheduler, counts map[fleet.Number]int) {
	others := s.connected()
	for i, at := range rand.Perm(len(others)) {
		if i >= announceTo {
			return
		}
		out := s.outbox.to(others[at])
		for service, count := range counts {
			out.Free = append(out.Free, &schema.Free{Service: uint32(service), Slots: clampUint32(count)})
		}
	}
}
