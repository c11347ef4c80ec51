package note

import (
	"math/rand/v2"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// defaultSnapshotInterval is the number of versions between two snapshots. A
	// snapshot of 36,000 accounts and 12,000 upstreams is 3.6 MB; at 17,000 notes
	// a day this makes 34 of them, 120 MB a day. A starting router reads at most
	// this many records in addition, about 80 KB at 156 bytes each.
	defaultSnapshotInterval = 500
	// snapshotThreshold is the number of missing records above which a snapshot
	// is read instead. At two intervals, a router that was away for some minutes,
	// or even an hour, reads only what it missed.
	snapshotThreshold = 2 * defaultSnapshotInterval
)

// SnapshotDue reports whether the state at the head's version should be stored
// as a snapshot.
func SnapshotDue(head *schema.NoteHead, interval uint64) bool {
	return head.GetVersion() >= head.GetSnapshotVersion()+interval
}

// FetchPlan is what a router has to read to catch up.
type FetchPlan struct {
	// Needed is false when the router holds the head's version or a higher one.
	Needed bool
	// SnapshotVersion is the snapshot to start from, zero for none.
	SnapshotVersion fleet.Version
}

// PlanFetch returns what to read to get from the held version to the head. A
// head below the held version is a stale read, for which nothing is needed.
func PlanFetch(held fleet.Version, head *schema.NoteHead) FetchPlan {
	version, snapshot := fleet.Version(head.GetVersion()), fleet.Version(head.GetSnapshotVersion())
	if version <= held {
		return FetchPlan{}
	}
	farBehind := held == 0 || version-held > snapshotThreshold
	if farBehind && snapshot > held {
		return FetchPlan{Needed: true, SnapshotVersion: snapshot}
	}
	return FetchPlan{Needed: true}
}

const (
	// maxFullBroadcast is the highest number of peers for which a new version is
	// announced to all of them.
	maxFullBroadcast = 16
	// gossipFanout is the number of peers that get an announcement when there are
	// more. Each router that receives a version announces it to this many, so at
	// 460 routers a version takes 2,760 messages, 6 a router; at 17,000 notes a
	// day that is 1.2 messages a second for each. One router in four hundred (e
	// to the power of -6) receives none and gets the version at its next poll.
	gossipFanout = 6
)

// AnnouncementTargets returns the peers to which a new version is announced.
func AnnouncementTargets(peers []fleet.RouterID, random *rand.Rand) []fleet.RouterID {
	chosen := append([]fleet.RouterID(nil), peers...)
	if len(chosen) <= maxFullBroadcast {
		return chosen
	}
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:gossipFanout]
}
