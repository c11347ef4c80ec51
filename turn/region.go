package turn

import (
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
)

// isBound reports whether the request may be served in some data centres only.
func (r *Request) isBound() bool { return len(r.DataCenters) > 0 }

// Allows reports whether the request may be served in a data centre.
func (r *Request) Allows(dataCenter fleet.DataCenterID) bool {
	return !r.isBound() || slices.Contains(r.DataCenters, dataCenter)
}
