package origin

import (
	"cmp"
	"encoding/hex"
	"maps"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// Holders chooses the routers that hold the records of other routers' streams. All routers with the
// same list choose the same ones, without communication.
type Holders struct {
	Self       fleet.RouterID
	DataCenter fleet.DataCenterID
	// Others are the connected routers and their data centres.
	Others map[fleet.RouterID]fleet.DataCenterID
}

// ForRecord returns the routers that a record is sent to: one in this router's data centre, where
// callers usually return, and one elsewhere in case the data centre is lost.
func (h Holders) ForRecord(key Key) []fleet.RouterID {
	near, far := h.ranked(key)
	const copies = 2
	out := append(first(near, 1), first(far, 1)...)
	if len(out) < copies {
		out = first(append(near, far...), copies)
	}
	return out
}

// ForQuery returns the routers that are asked for the record of a stream that began at any router:
// all of a small fleet, and in a large one those that ForRecord returns at a router of this data
// centre and at one of any other.
func (h Holders) ForQuery(key Key) []fleet.RouterID {
	if !fleet.IsLarge(len(h.Others) + 1) {
		return slices.Sorted(maps.Keys(h.Others))
	}
	near, far := h.ranked(key)
	out := append(first(near, 2), first(far, 1)...)
	// A router in the data centre of the first one elsewhere has sent its record to the first
	// router that isn't there.
	next := slices.IndexFunc(far, func(r fleet.RouterID) bool { return h.Others[r] != h.Others[far[0]] })
	if next >= 0 {
		out = append(out, far[next])
	}
	return out
}

// ranked returns the other routers in the order of preference for a key, those of this router's
// data centre apart.
func (h Holders) ranked(key Key) (near, far []fleet.RouterID) {
	routers := slices.SortedFunc(maps.Keys(h.Others), cmp.Compare)
	for _, r := range rendezvous.Rank(rendezvous.KeyOf("origin", hex.EncodeToString(key[:])), routers) {
		if h.Others[r] == h.DataCenter {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	return near, far
}

// first returns a copy of the first routers of a list.
func first(routers []fleet.RouterID, count int) []fleet.RouterID {
	return slices.Clone(routers[:min(count, len(routers))])
}
