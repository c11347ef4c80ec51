// Package origin knows which software version of an upstream began a stream.
//
// Upstreams of several software versions may serve one service. What two versions generate
// doesn't fit together, so a stream that breaks off may only go on at an upstream of the
// version that began it.
package origin

import "nutmeglock.example/nutmeglock/fleet"

// Resumer is who takes up a stream again.
type Resumer string

// The resumers.
const (
	// Caller took up the stream with a new request.
	Caller Resumer = "caller"
	// Router continued the stream within one answer.
	Router Resumer = "router"
)

// Resumers returns all resumers, for counters that start at zero.
func Resumers() []Resumer { return []Resumer{Caller, Router} }

// Match compares the software version of the upstream at which a stream goes on with the version
// that began it.
type Match string

// The matches.
const (
	SameVersion  Match = "same"
	OtherVersion Match = "other"
	// UnknownVersion means that one of the versions isn't known.
	UnknownVersion Match = "unknown"
)

// Matches returns all matches, for counters that start at zero.
func Matches() []Match { return []Match{SameVersion, OtherVersion, UnknownVersion} }

// Compare compares the version that began a stream with that of the upstream at which it goes on.
func Compare(began, goesOn fleet.SoftwareVersion) Match {
	switch {
	case began == "" || goesOn == "":
		return UnknownVersion
	case began == goesOn:
		return SameVersion
	}
	return OtherVersion
}
