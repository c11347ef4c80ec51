// Package peer carries control messages between the routers of a fleet.
package peer

import "nutmeglock.example/nutmeglock/fleet"

// Change says that a connection to another router came or went.
type Change struct {
	Router      fleet.RouterID
	DataCenter  fleet.DataCenterID
	Address     string
	Incarnation fleet.Incarnation
	Connected   bool
}
