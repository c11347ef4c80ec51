package origin

import (
	"encoding/binary"
	"maps"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// copies is the number of other routers that hold a record.
const copies = 2

// Holders chooses the routers that hold the records of other routers' streams. All routers with the
// same list choose the same ones, without communication. Its zero value knows no other router.
type Holders struct {
	dataCenters map[fleet.RouterID]fleet.DataCenterID
	dataCenter  fleet.DataCenterID
	// near are the other routers of this router's data centre, and far those elsewhere, sorted.
	near, far []fleet.RouterID
}

// NewHolders returns the Holders of a router in a data centre that is connected with others.
func NewHolders(dataCenter fleet.DataCenterID, others map[fleet.RouterID]fleet.DataCenterID) Holders {
	h := Holders{dataCenters: maps.Clone(others), dataCenter: dataCenter}
	for _, router := range slices.Sorted(maps.Keys(others)) {
		if others[router] == dataCenter {
			h.near = append(h.near, router)
		} else {
			h.far = append(h.far, router)
		}
	}
	return h
}

// ForRecord returns the routers that a record is sent to: one in this router's data centre, where
// callers usually return, and one elsewhere in case the data centre is lost. With one data centre
// both are there.
func (h Holders) ForRecord(key Key) []fleet.RouterID {
	switch {
	case len(h.far) == 0:
		return firstTwo(key, h.near)
	case len(h.near) == 0:
		return firstTwo(key, h.far)
	}
	return []fleet.RouterID{first(key, h.near), first(key, h.far)}
}

// ForQuery returns the routers that are asked for the record of a stream that began at any router:
// all of a small fleet, and in a large one those that ForRecord returns at a router of this data
// centre and at one of any other.
func (h Holders) ForQuery(key Key) []fleet.RouterID {
	if !fleet.IsLarge(len(h.dataCenters) + 1) {
		return append(slices.Clone(h.near), h.far...)
	}
	out := firstTwo(key, h.near)
	if len(h.far) == 0 {
		return out
	}
	elsewhere := first(key, h.far)
	out = append(out, elsewhere)
	// A router in the data centre of that one has sent its record to the first router that isn't
	// there.
	others := slices.DeleteFunc(slices.Clone(h.far), func(r fleet.RouterID) bool { return h.dataCenters[r] == h.dataCenters[elsewhere] })
	if len(others) > 0 {
		out = append(out, first(key, others))
	}
	return out
}

// among returns the Holders that choose only routers that match.
func (h Holders) among(matches func(id fleet.RouterID) bool) Holders {
	skip := func(id fleet.RouterID) bool { return !matches(id) }
	h.near = slices.DeleteFunc(slices.Clone(h.near), skip)
	h.far = slices.DeleteFunc(slices.Clone(h.far), skip)
	return h
}

// with returns the Holders that also choose these routers.
func (h Holders) with(routers []fleet.RouterID) Holders {
	h.near, h.far = slices.Clip(h.near), slices.Clip(h.far)
	for _, id := range routers {
		if h.dataCenters[id] == h.dataCenter {
			h.near = append(h.near, id)
		} else {
			h.far = append(h.far, id)
		}
	}
	return h
}

// first returns the router that is preferred for a key.
func first(key Key, routers []fleet.RouterID) fleet.RouterID {
	return rendezvous.Pick(rendezvous.KeyOfNumber("origin", binary.BigEndian.Uint64(key[:])), routers)
}

// firstTwo returns the two routers that are preferred for a key, or all if there are fewer.
func firstTwo(key Key, routers []fleet.RouterID) []fleet.RouterID {
	if len(routers) <= copies {
		return slices.Clone(routers)
	}
	best := first(key, routers)
	rest := slices.DeleteFunc(slices.Clone(routers), func(r fleet.RouterID) bool { return r == best })
	return []fleet.RouterID{best, first(key, rest)}
}
