package note

import (
	"context"
	"maps"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
)

// spread tells peers of a version.
func (h *Holder) spread(version fleet.Version) {
	if h.announce == nil {
		return
	}
	routers := h.peers.Routers()
	h.mu.Lock()
	to := Spread(routers, h.random)
	h.mu.Unlock()
	h.announce(to, version)
}

// Heard takes note of a peer that holds a version, and has Run fetch it when
// it is higher than what is held here. It does not block.
func (h *Holder) Heard(from fleet.RouterID, version fleet.Version) {
	higher := version > h.Version()
	h.mu.Lock()
	h.told[from] = version
	if higher {
		h.heard[from] = max(h.heard[from], version)
	}
	h.mu.Unlock()
	if !higher {
		return
	}
	signal(h.wake)
}

// PeerVersion returns the version that a router last announced to this one,
// zero when it announced none. In a fleet of more than spreadAll routers it may
// lag, because each tells only a few.
func (h *Holder) PeerVersion(router fleet.RouterID) fleet.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.told[router]
}

// nextHeard returns a peer that announced a higher version than is held, and
// forgets its announcement and those that are of no use any more.
func (h *Holder) nextHeard() (fleet.RouterID, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := fleet.Version(h.state().GetVersion())
	var best fleet.RouterID
	for router, version := range h.heard {
		if version <= held {
			delete(h.heard, router)
			continue
		}
		highest := h.heard[best]
		if version > highest || (version == highest && router < best) {
			best = router
		}
	}
	delete(h.heard, best)
	return best, best != ""
}

// forgetGone forgets what routers announced that are gone: of 1,300 that start
// in a day each may have a name of its own.
func (h *Holder) forgetGone() {
	routers := h.peers.Routers()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.told, func(router fleet.RouterID, _ fleet.Version) bool {
		return !slices.Contains(routers, router)
	})
}

// FollowHeard fetches what peers announced. It fails with the error of the last
// peer when that one, and none after it, handed out what it announced.
func (h *Holder) FollowHeard(ctx context.Context) error {
	var failed error
	for {
		router, ok := h.nextHeard()
		if !ok {
			return failed
		}
		failed = h.fetchFrom(ctx, router)
	}
}
