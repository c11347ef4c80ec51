// Package fanout decides how many dispatchers are asked for a slot.
//
// It answers waiting work whose first dispatcher has no room. Asking all at
// once costs messages for each request, of which all but one are in vain while
// the fleet has room. Asking few for long leaves work waiting beside idle
// slots, and a small account beside a flood waits for the next free slot among
// few upstreams while others become free and go to the flood.
package fanout

import "time"

const (
	// Most bounds the dispatchers that are asked. Beyond them, dispatchers with
	// idle slots announce themselves.
	Most = 8
	// firstAnswer is longer than the round trip to a dispatcher with its delays.
	firstAnswer = 10 * time.Millisecond
	// secondAnswer is two of them. In the virtual-time model at six routers,
	// asking only two or three in the first second made a small account's p99
	// beside a flood 1.3 s in place of 0.7 s and the flood's gap 4.3 times the
	// largest request in place of 3.0, for 1 to 12 % fewer control bytes.
	secondAnswer = 20 * time.Millisecond
	// many is how many requests stand for a burst, whose one ask is worth its
	// bytes at every dispatcher.
	many = 8
)

// Of returns how many dispatchers to ask, from 1 to Most, when so many requests
// of an account wait and the oldest has waited for so long.
func Of(waiting int, waited time.Duration) int {
	switch {
	case waited < firstAnswer:
		return 1
	case waited < secondAnswer && waiting < many:
		return 2
	}
	return Most
}
