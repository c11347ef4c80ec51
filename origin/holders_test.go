package origin_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
)

// dataCentersOf returns the data centres of the routers of a fleet.
func dataCentersOf(routers, dataCenters int) map[fleet.RouterID]fleet.DataCenterID {
	all := make(map[fleet.RouterID]fleet.DataCenterID)
	for i := range routers {
		all[fleet.RouterID(fmt.Sprintf("r%d", i))] = fleet.DataCenterID(fmt.Sprintf("z%d", i%dataCenters))
	}
	return all
}

// holdersOf returns the Holders of a router that knows all others but those that are lost.
func holdersOf(all map[fleet.RouterID]fleet.DataCenterID, self fleet.RouterID, isLost func(id fleet.RouterID) bool) origin.Holders {
	others := maps.Clone(all)
	maps.DeleteFunc(others, func(id fleet.RouterID, _ fleet.DataCenterID) bool { return id == self || isLost(id) })
	return origin.NewHolders(all[self], others)
}

func nobody(fleet.RouterID) bool { return false }

// Guards against records that the router to which a caller returns doesn't find: in a fleet of any
// size, after the router that began the stream was lost, or its data centre.
func TestRecordsAreFound(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ routers, dataCenters int }{{2, 1}, {6, 3}, {6, 6}, {30, 1}, {30, 2}, {90, 3}, {90, 11}} {
		all := dataCentersOf(size.routers, size.dataCenters)
		for i := range 20 {
			key := keyOf(i)
			began := fleet.RouterID(fmt.Sprintf("r%d", i%size.routers))
			held := holdersOf(all, began, nobody).ForRecord(key)
			require.LessOrEqual(t, len(held), 2)
			require.NotContains(t, held, began)
			lost := map[string]func(id fleet.RouterID) bool{
				"nobody":          nobody,
				"its router":      func(id fleet.RouterID) bool { return id == began },
				"its data centre": func(id fleet.RouterID) bool { return all[id] == all[began] },
			}
			for returned := range all {
				for name, isLost := range lost {
					if returned == began || isLost(returned) {
						continue
					}
					h := holdersOf(all, returned, isLost)
					found := slices.Contains(held, returned) || slices.ContainsFunc(h.ForQuery(key), func(r fleet.RouterID) bool { return slices.Contains(held, r) })
					require.True(t, found, "%d routers, from %s to %s, lost: %s", size.routers, began, returned, name)
				}
			}
		}
	}
}

// Guards against a large fleet in which each stream, or each return of a caller, reaches all routers.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	h := holdersOf(dataCentersOf(300, 3), "r0", nobody)
	for i := range 100 {
		require.Len(t, h.ForRecord(keyOf(i)), 2)
		require.LessOrEqual(t, len(h.ForQuery(keyOf(i))), 4)
	}
}
