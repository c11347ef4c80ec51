package fleet

// minLargeFleet is the number of routers from which a fleet is large. Below it reports between
// routers are at most 50 ms old, and six routers in front of twelve engines start 98 in 100 of the
// requests that a single one deciding for all would start.
const minLargeFleet = 16

// IsLarge reports whether a fleet has so many routers that they share work which each router of a
// smaller fleet does itself: a few follow the store for all, and one grants the turns of a group of
// engines.
func IsLarge(routers int) bool { return routers >= minLargeFleet }
