package note

import (
	"math/rand/v2"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// snapshotEvery is how many versions lie between two snapshots. A snapshot
	// of 36,000 accounts and 12,000 upstreams is 3.6 MB; at 17,000 notes a day
	// this makes 34 of them, 120 MB a day. A router that starts reads at most
	// this many records besides, about 80 KB at 156 bytes each.
	snapshotEvery = 500
	// snapshotWorth is from how many missing records on a snapshot is read
	// instead: more than two intervals, so that a router that missed some
	// minutes, or even an hour, reads only what it missed.
	snapshotWorth = 2 * snapshotEvery
)

// SnapshotDue reports whether the state at the head's version is to be put
// into the object store.
func SnapshotDue(head *schema.NoteHead, every uint64) bool {
	return head.GetVersion() >= head.GetSnapshotVersion()+every
}

// Fetch is what a router has to read to catch up.
type Fetch struct {
	// Needed is false when the router holds the head's version or a higher one.
	Needed bool
	// Snapshot is the version of the snapshot to start from, zero for none.
	Snapshot fleet.Version
}

// Plan returns what leads from the held version to the head. A head that is
// lower than what is held is a stale read and leads nowhere.
func Plan(held fleet.Version, head *schema.NoteHead) Fetch {
	version, snapshot := fleet.Version(head.GetVersion()), fleet.Version(head.GetSnapshotVersion())
	if version <= held {
		return Fetch{}
	}
	worth := held == 0 || version-held > snapshotWorth
	if worth && snapshot > held {
		return Fetch{Needed: true, Snapshot: snapshot}
	}
	return Fetch{Needed: true}
}

const (
	// spreadAll is up to how many peers each one is told of a new version directly.
	spreadAll = 16
	// spreadSome is how many are told when there are more. Each router that
	// learns a version tells this many, so at 460 routers a version takes 2,760
	// messages, 6 a router; at 17,000 notes a day that is 1.2 messages a second.
	// One router in four hundred (e to the power of -6) hears of it from nobody
	// and finds it at its next poll.
	spreadSome = 6
)

// Spread returns the peers to tell of a new version.
func Spread(peers []fleet.RouterID, random *rand.Rand) []fleet.RouterID {
	chosen := append([]fleet.RouterID(nil), peers...)
	if len(chosen) <= spreadAll {
		return chosen
	}
	random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:spreadSome]
}
