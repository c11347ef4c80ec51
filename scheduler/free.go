package scheduler

import (
	"math/rand/v2"
	"time"

	"nutmeglock.example/nutmeglock/fanout"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// freeAnnouncer announces this dispatcher's idle slots to other routers. A queue
// asks only a few dispatchers; without announcements the slots of others would
// stay idle while its requests wait.
type freeAnnouncer struct {
	// idleServices are the services with idle slots and no waiting asks.
	idleServices map[fleet.ShortID]bool
	nextAt       time.Time
	interval     time.Duration
}

// Intervals and recipients of announcements.
const (
	// minAnnounceInterval follows the first announcement of idle slots. It is a few round trips.
	minAnnounceInterval = 20 * time.Millisecond
	// maxAnnounceInterval is reached when no router asks, for example while the whole
	// fleet has idle slots. It limits how long a queue that has asked
	// fanout.MaxDispatchers dispatchers waits while another one has an idle slot. At
	// this interval one service takes 70 bytes a second.
	maxAnnounceInterval = time.Second
	// servicesPerMaxInterval is the number of idle services that extends the
	// longest interval by another maxAnnounceInterval.
	servicesPerMaxInterval = 4
	// announceFanout is the number of routers, chosen at random, per announcement.
	announceFanout = 8
)

func newFreeAnnouncer() freeAnnouncer {
	return freeAnnouncer{idleServices: make(map[fleet.ShortID]bool), interval: minAnnounceInterval}
}

func (f *freeAnnouncer) tick(s *Scheduler, now time.Time) {
	if s.sharing == StaticShare || len(s.routers) < fanout.MaxDispatchers {
		// Queues ask every dispatcher anyway.
		return
	}
	counts := s.dispatcher.FreeSlots(now)
	for service := range counts {
		if s.dispatcher.HasWaiting(service) {
			delete(counts, service)
		}
	}
	for service := range f.idleServices {
		if counts[service] == 0 {
			delete(f.idleServices, service)
		}
	}
	for service := range counts {
		if !f.idleServices[service] {
			f.idleServices[service] = true
			f.interval, f.nextAt = minAnnounceInterval, now
		}
	}
	if len(counts) == 0 || now.Before(f.nextAt) {
		return
	}
	announceIdleSlots(s, counts)
	f.nextAt = now.Add(f.interval)
	f.interval = min(2*f.interval, maxAnnounceInterval*time.Duration(1+len(counts)/servicesPerMaxInterval))
}

func announceIdleSlots(s *Scheduler, counts map[fleet.ShortID]int) {
	routers := s.connectedRouters()
	for i, index := range rand.Perm(len(routers)) {
		if i >= announceFanout {
			return
		}
		out := s.outbox.batchTo(routers[index])
		for service, count := range counts {
			out.Free = append(out.Free, &schema.Free{Service: uint32(service), Slots: clampUint32(count)})
		}
	}
}
