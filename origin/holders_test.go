package origin_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
)

// holdersOf returns the Holders of each router of a fleet.
func holdersOf(routers, dataCenters int) map[fleet.RouterID]origin.Holders {
	all := make(map[fleet.RouterID]fleet.DataCenterID)
	for i := range routers {
		all[fleet.RouterID(fmt.Sprintf("r%d", i))] = fleet.DataCenterID(fmt.Sprintf("z%d", i%dataCenters))
	}
	out := make(map[fleet.RouterID]origin.Holders)
	for self, center := range all {
		others := make(map[fleet.RouterID]fleet.DataCenterID)
		for id, otherCenter := range all {
			if id != self {
				others[id] = otherCenter
			}
		}
		out[self] = origin.Holders{Self: self, DataCenter: center, Others: others}
	}
	return out
}

// without returns Holders that no longer know some routers.
func without(h origin.Holders, isLost func(id fleet.RouterID, center fleet.DataCenterID) bool) origin.Holders {
	others := make(map[fleet.RouterID]fleet.DataCenterID)
	for id, center := range h.Others {
		if !isLost(id, center) {
			others[id] = center
		}
	}
	h.Others = others
	return h
}

// Guards against records that the router to which a caller returns doesn't find: in a fleet of any
// size, after the router that began the stream was lost, or its data centre.
func TestRecordsAreFound(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ routers, dataCenters int }{{2, 1}, {6, 3}, {30, 1}, {30, 2}, {90, 3}, {90, 11}} {
		holders := holdersOf(size.routers, size.dataCenters)
		for i := range 50 {
			key := keyOf(i)
			began := fleet.RouterID(fmt.Sprintf("r%d", i%size.routers))
			held := holders[began].ForRecord(key)
			require.LessOrEqual(t, len(held), 2)
			require.NotContains(t, held, began)
			for returned, h := range holders {
				if returned == began {
					continue
				}
				lostRouter := func(id fleet.RouterID, _ fleet.DataCenterID) bool { return id == began }
				lostCenter := func(_ fleet.RouterID, center fleet.DataCenterID) bool { return center == holders[began].DataCenter }
				require.True(t, finds(h, key, held), "%d routers: from %s to %s", size.routers, began, returned)
				require.True(t, finds(without(h, lostRouter), key, held), "%d routers: from %s, lost, to %s", size.routers, began, returned)
				if h.DataCenter != holders[began].DataCenter {
					require.True(t, finds(without(h, lostCenter), key, held), "%d routers: from lost data centre of %s to %s", size.routers, began, returned)
				}
			}
		}
	}
}

// finds reports whether a router has a record or asks one that does.
func finds(h origin.Holders, key origin.Key, held []fleet.RouterID) bool {
	return slices.Contains(held, h.Self) || slices.ContainsFunc(h.ForQuery(key), func(r fleet.RouterID) bool { return slices.Contains(held, r) })
}

// Guards against a large fleet in which each stream, or each return of a caller, reaches all routers.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	h := holdersOf(300, 3)["r0"]
	for i := range 100 {
		require.Len(t, h.ForRecord(keyOf(i)), 2)
		require.LessOrEqual(t, len(h.ForQuery(keyOf(i))), 4)
	}
}
