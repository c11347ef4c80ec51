package coldstart

import (
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// handover is how long a new owner waits: until then, what the previous owner sent has
// arrived and the routers that still ask that one have learnt of the change.
const handover = 1500 * time.Millisecond

// Ownership decides for which keys this router is the owner. Its zero value, which knows no
// fleet, owns nothing. It is safe for concurrent use.
type Ownership struct {
	Self fleet.RouterID

	mu sync.Mutex
	// connected are the other connected routers, and fleetSize is the number of routers that
	// are known, connected or not, including this one; zero if it isn't known.
	connected []fleet.RouterID
	fleetSize int
	// ownedSince holds when this router became the owner of a key, the zero time for keys
	// of other owners.
	ownedSince map[rendezvous.Key]time.Time
}

// SetRouters sets which other routers are connected.
func (o *Ownership) SetRouters(others []fleet.RouterID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.connected = slices.Clone(others)
	o.update()
}

// SetFleetSize sets how many routers the fleet has, connected or not, including this one.
func (o *Ownership) SetFleetSize(routers int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fleetSize == routers {
		return
	}
	o.fleetSize = routers
	o.update()
}

// Owns reports whether this router has been the owner of key for long enough.
func (o *Ownership) Owns(now time.Time, key rendezvous.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, known := o.ownedSince[key]
	if !known {
		if o.isOwner(key) {
			since = now
		}
		if o.ownedSince == nil {
			o.ownedSince = make(map[rendezvous.Key]time.Time)
		}
		o.ownedSince[key] = since
	}
	return !since.IsZero() && now.Sub(since) >= handover
}

// ReachesMajority reports whether this router is connected with most of the fleet.
func (o *Ownership) ReachesMajority() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reachesMajority()
}

func (o *Ownership) reachesMajority() bool {
	return o.fleetSize > 0 && 2*(len(o.connected)+1) > o.fleetSize
}

// update drops what no longer holds. An owner that stays keeps its time.
func (o *Ownership) update() {
	for key, since := range o.ownedSince {
		if since.IsZero() || !o.isOwner(key) {
			delete(o.ownedSince, key)
		}
	}
}

// isOwner reports whether this router is the owner as far as it knows. Of the parts of a
// fleet that are cut from each other, at most one has most of the routers.
func (o *Ownership) isOwner(key rendezvous.Key) bool {
	if !o.reachesMajority() {
		return false
	}
	return rendezvous.Pick(key, append(slices.Clip(o.connected), o.Self)) == o.Self
}
