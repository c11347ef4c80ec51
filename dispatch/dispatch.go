// Package dispatch is the seam between a router's traffic and whatever decides
// which waiting request starts next, and where.
package dispatch

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Work is one request that waits for its turn.
type Work struct {
	Request fleet.RequestID
	Account *schema.Account
	Service *schema.Service
	// Estimate is the expected cost; the actual cost is known only at the end.
	Estimate fleet.Tokens
	// Prefix identifies the beginning of the prompt, in blocks from short to
	// long, for cache affinity. It is empty for plain services.
	Prefix []uint64
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Avoid lists upstreams that an earlier attempt failed at.
	Avoid []fleet.UpstreamID
}

// Result is how an upstream answered, as far as dispatch needs to know.
type Result int

const (
	// Answered means that the upstream answered whole.
	Answered Result = iota + 1
	// Refused means that the upstream turned the request away unrun.
	Refused
	// Failed means that the upstream could not be reached or broke off.
	Failed
	// Draining means that the upstream said that it takes no more work.
	Draining
	// Unused means that nothing was sent to the upstream.
	Unused
)

// Done is what the holder of a slot reports when it gives the slot back.
type Done struct {
	Result Result
	// Cost is the weighted tokens that the request took in all.
	Cost fleet.Tokens
	// FirstToken is the time from sending to the first byte of the answer,
	// zero when there was none.
	FirstToken time.Duration
}

// Slot is the right to have one request in flight at an upstream.
type Slot interface {
	// Upstream returns where to send the request.
	Upstream() *schema.Upstream
	// Progress reports the request's cost so far, so that a long answer
	// counts while it streams. It does not block.
	Progress(cost fleet.Tokens)
	// Done gives the slot back. It must be called once and does not block.
	Done(done Done)
}

// Source hands out slots.
type Source interface {
	// Acquire waits for the request's turn. It fails with *refusal.Error at
	// once when the request can't be served in time, and with a
	// *refusal.Error of reason caller-gone when ctx ends.
	Acquire(ctx context.Context, work Work) (Slot, error)
}
