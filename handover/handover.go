// Package handover decides which requests a router hands over to other routers of its data centre.
//
// It handles this load: the connections of one account reach one or two small routers, which run
// out of processor time while other routers are idle. A router that sheds requests asks the others
// for offers (Helpers), and they decide how many requests they accept from it (Offers).
package handover

import (
	"crypto/subtle"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// RenewInterval is how often a helper renews its offers.
	RenewInterval = 250 * time.Millisecond
	// lifetime is how long an offer that isn't renewed, and a query that isn't repeated, hold. A
	// router that freezes or is cut off gets nothing for longer.
	lifetime = time.Second
	// askInterval is how often a router that sheds repeats its query. A query that is delayed by a
	// short pause doesn't end the offers.
	askInterval = lifetime / 2
)

// Token proves to a helper that a relay comes from a router of the fleet.
type Token [16]byte

// Equal compares two tokens in constant time.
func (t Token) Equal(other Token) bool { return subtle.ConstantTimeCompare(t[:], other[:]) == 1 }

// Offer is what a helper accepts from one router until it renews the offer.
type Offer struct {
	Router   fleet.RouterID
	Requests int
}

// Helper is a router that accepts requests of other routers.
type Helper struct {
	Router fleet.RouterID
	// Address is that of its listener for relays.
	Address string
	Token   Token
}

// Result is what became of a request for which a router had no processor time.
type Result string

const (
	// Sent means that the request was handed over, and that its answer was relayed or its caller
	// disconnected.
	Sent Result = "sent"
	// NoOffer means that no router offers to accept more requests.
	NoOffer Result = "no-offer"
	// Limited means that this router has too little processor time, or too many connections, for
	// another relay.
	Limited Result = "limited"
	// ConnectFailed means that the helper couldn't be reached or rejected the relay. Nothing of the
	// request was sent.
	ConnectFailed Result = "connect-failed"
	// Broken means that the request was sent and the relay ended without an answer.
	Broken Result = "broken"
)

// Results returns all results, for counters that start at zero.
func Results() []Result { return []Result{Sent, NoOffer, Limited, ConnectFailed, Broken} }

// Error reports a request that wasn't handed over, or whose relay broke.
type Error struct {
	Result Result
	// Router is the helper; empty if none was chosen.
	Router fleet.RouterID
	Cause  error
}

// Error returns the result, the router and the cause.
func (e *Error) Error() string {
	text := "handover: " + string(e.Result)
	if e.Router != "" {
		text += " (" + string(e.Router) + ")"
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
