package note

import (
	"context"
	"maps"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
)

// announceVersion announces a version to peers.
func (r *Replica) announceVersion(version fleet.Version) {
	if r.announce == nil {
		return
	}
	routers := r.peers.Routers()
	r.mu.Lock()
	targets := AnnouncementTargets(routers, r.random)
	r.mu.Unlock()
	r.announce(targets, version)
}

// HandleAnnouncement records that a peer holds a version. If that is newer than
// the local one, Run fetches it. HandleAnnouncement does not block.
func (r *Replica) HandleAnnouncement(from fleet.RouterID, version fleet.Version) {
	newer := version > r.Version()
	r.mu.Lock()
	r.peerVersions[from] = version
	if newer {
		r.pending[from] = max(r.pending[from], version)
	}
	r.mu.Unlock()
	if !newer {
		return
	}
	notify(r.fetchSignal)
}

// PeerVersion returns the version that a router last announced to this one, or
// zero. In a fleet of more than maxFullBroadcast routers it may lag, because
// each router announces to only a few.
func (r *Replica) PeerVersion(router fleet.RouterID) fleet.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerVersions[router]
}

// nextPending removes and returns the peer that announced the highest version
// above the local one. It also drops announcements of versions that are not
// newer.
func (r *Replica) nextPending() (fleet.RouterID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := fleet.Version(r.state().GetVersion())
	var best fleet.RouterID
	for router, version := range r.pending {
		if version <= held {
			delete(r.pending, router)
			continue
		}
		highest := r.pending[best]
		if version > highest || (version == highest && router < best) {
			best = router
		}
	}
	delete(r.pending, best)
	return best, best != ""
}

// forgetDepartedPeers removes the announced versions of routers that no longer
// run. Up to 1,300 routers start in a day, each possibly with a new name.
func (r *Replica) forgetDepartedPeers() {
	routers := r.peers.Routers()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.peerVersions, func(router fleet.RouterID, _ fleet.Version) bool {
		return !slices.Contains(routers, router)
	})
}

// FetchAnnounced fetches the versions that peers announced. It returns the result
// of the last fetch: an error, or nil if that one succeeded.
func (r *Replica) FetchAnnounced(ctx context.Context) error {
	var lastErr error
	for {
		router, ok := r.nextPending()
		if !ok {
			return lastErr
		}
		lastErr = r.fetchFrom(ctx, router)
	}
}
