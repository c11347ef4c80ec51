package fleet

// leastLarge is the size of a large fleet. Below it reports between routers are at
// most 50 ms old, and six routers before twelve engines begin 98 in 100 of the requests
// that they would if one of them decided for all.
const leastLarge = 16

// IsLarge reports whether a fleet of so many routers shares work that each router of a
// smaller one does by itself: few follow the store for all, and one gives the turns
// of a group of engines.
func IsLarge(routers int) bool { return routers >= leastLarge }
