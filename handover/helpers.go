package handover

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// maxFailures is the number of consecutive failures to connect to a helper after which its offers
// don't count for lifetime. Each attempt costs its caller up to the time limit for connecting. A
// single failure may be due to this router, which is short of processor time.
const maxFailures = 2

// Helpers holds the offers of other routers, and chooses the helper of each request. Its zero value
// has no offers. It isn't safe for concurrent use.
type Helpers struct {
	known   map[fleet.RouterID]*helper
	askedAt time.Time
}

// helper is a router that has sent an offer.
type helper struct {
	Helper
	// left is the number of requests that it still accepts, and offeredAt when its offer arrived.
	left      int
	offeredAt time.Time
	// failures counts the consecutive failures to connect to it, and failedAt is when the latest was.
	failures int
	failedAt time.Time
}

// ShouldAsk reports whether a router that sheds should send its queries now, and records that it
// does.
func (h *Helpers) ShouldAsk(now time.Time) bool {
	if !h.askedAt.IsZero() && now.Sub(h.askedAt) < askInterval {
		return false
	}
	h.askedAt = now
	return true
}

// Knows reports whether the address and the token of a router are known.
func (h *Helpers) Knows(router fleet.RouterID) bool { return h.known[router] != nil }

// Add records the address and the token of a router.
func (h *Helpers) Add(who Helper) {
	if h.known == nil {
		h.known = make(map[fleet.RouterID]*helper)
	}
	h.known[who.Router] = &helper{Helper: who}
}

// Record replaces the offer of a router. One of a router without a known address is ignored.
func (h *Helpers) Record(now time.Time, offer Offer) {
	if k := h.known[offer.Router]; k != nil {
		k.left, k.offeredAt = offer.Requests, now
	}
}

// Take returns the helper with the largest rest of an offer, and takes one request from the rest.
func (h *Helpers) Take(now time.Time) (Helper, bool) {
	var best *helper
	for _, k := range h.known {
		if k.isOpen(now) && (best == nil || k.left > best.left || k.left == best.left && k.Router < best.Router) {
			best = k
		}
	}
	if best == nil {
		return Helper{}, false
	}
	best.left--
	return best.Helper, true
}

func (k *helper) isOpen(now time.Time) bool {
	return k.left > 0 && now.Sub(k.offeredAt) <= lifetime && (k.failures < maxFailures || now.Sub(k.failedAt) > lifetime)
}

// RecordConnected records that a helper has accepted a request.
func (h *Helpers) RecordConnected(router fleet.RouterID) {
	if k := h.known[router]; k != nil {
		k.failures = 0
	}
}

// RecordFailure records that a helper couldn't be connected to.
func (h *Helpers) RecordFailure(now time.Time, router fleet.RouterID) {
	if k := h.known[router]; k != nil {
		k.failures++
		k.failedAt = now
	}
}

// Forget removes a router whose connection was lost.
func (h *Helpers) Forget(router fleet.RouterID) { delete(h.known, router) }
