package note

import (
	"context"
	"maps"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
)

// announceVersion announces a version to peers.
func (h *Replica) announceVersion(version fleet.Version) {
	if h.announce == nil {
		return
	}
	routers := h.peers.Routers()
	h.mu.Lock()
	targets := AnnouncementTargets(routers, h.random)
	h.mu.Unlock()
	h.announce(targets, version)
}

// HandleAnnouncement records that a peer holds a version. If it is newer than the local one,
// Run fetches it. Heard does not block.
func (h *Replica) HandleAnnouncement(from fleet.RouterID, version fleet.Version) {
	newer := version > h.Version()
	h.mu.Lock()
	h.peerVersions[from] = version
	if newer {
		h.pending[from] = max(h.pending[from], version)
	}
	h.mu.Unlock()
	if !newer {
		return
	}
	notify(h.fetchSignal)
}

// PeerVersion returns the version that a router last announced to this one, or
// zero. In a fleet of more than maxFullBroadcast routers it may lag, because
// each router announces to only a few.
func (h *Replica) PeerVersion(router fleet.RouterID) fleet.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peerVersions[router]
}

// nextPending removes and returns the peer that announced the highest version
// above the local one. It also drops announcements of versions that are not
// newer.
func (h *Replica) nextPending() (fleet.RouterID, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := fleet.Version(h.state().GetVersion())
	var best fleet.RouterID
	for router, version := range h.pending {
		if version <= held {
			delete(h.pending, router)
			continue
		}
		highest := h.pending[best]
		if version > highest || (version == highest && router < best) {
			best = router
		}
	}
	delete(h.pending, best)
	return best, best != ""
}

// forgetDepartedPeers drops the announced versions of routers that are gone. Up
// to 1,300 routers start in a day, each possibly with a new name.
func (h *Replica) forgetDepartedPeers() {
	routers := h.peers.Routers()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.peerVersions, func(router fleet.RouterID, _ fleet.Version) bool {
		return !slices.Contains(routers, router)
	})
}

// FetchAnnounced fetches the versions that peers announced. It returns the error
// of the last peer, and nil when that one delivered.
func (h *Replica) FetchAnnounced(ctx context.Context) error {
	var lastErr error
	for {
		router, ok := h.nextPending()
		if !ok {
			return lastErr
		}
		lastErr = h.fetchFrom(ctx, router)
	}
}
