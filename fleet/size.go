package fleet

// minLargeFleet is the number of routers from which a fleet is large. In a smaller fleet reports
// between routers are at most 50 ms old: six routers in front of twelve engines start 98 in 100 of
// the requests that a single router for all of them would start.
const minLargeFleet = 16

// IsLarge reports whether a fleet is so large that its routers share work that each router of a
// smaller fleet does itself: a few follow the store for all, and one grants the turns at each group
// of engines.
func IsLarge(routers int) bool { return routers >= minLargeFleet }
