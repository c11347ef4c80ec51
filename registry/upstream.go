// Package registry holds one router's copy of the list of upstreams, which
// register themselves with the platform.
//
// The list comes from several sources: the platform's feed, full reads after a
// gap, and other routers. Each entry carries the revision at which the platform
// stored it, and the highest revision wins. Without revisions a delayed reply
// would restore an upstream that has left.
package registry

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// StartTime distinguishes successive starts of an upstream with the same id. It is in
// milliseconds since 1970.
type StartTime int64

// Upstream is an entry of the list.
type Upstream struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Address    string
	DataCenter fleet.DataCenterID
	Slots      int
	StartTime  StartTime
	// Software is the version of the upstream's software. It is empty if the entry comes from a
	// router that doesn't pass it on.
	Software fleet.SoftwareVersion
	// Draining upstreams finish their requests and accept no new ones.
	Draining bool
	// ColdUntil is when the upstream has started completely. Until then it tolerates only a
	// few requests a second.
	ColdUntil time.Time
}

// Change is the write of an entry, or its removal if Removed is set.
type Change struct {
	Upstream Upstream
	Revision Revision
	Removed  bool
	// ReadAt is when the first router read the change from the store; zero if unknown.
	ReadAt time.Time
}
