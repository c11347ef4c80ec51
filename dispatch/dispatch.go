// Package dispatch defines the interface between a router's request handling and
// the scheduler, which decides which waiting request starts next and at which
// upstream.
package dispatch

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Request describes a request that waits for a slot.
type Request struct {
	ID      fleet.RequestID
	Account *schema.Account
	Service *schema.Service
	// Estimate is the expected cost. The actual cost is known only when the
	// request ends.
	Estimate fleet.Tokens
	// Prefixes holds the ids of the prompt's prefixes, each one block longer than
	// the one before, for cache affinity. It is empty for plain services.
	Prefixes []uint64
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// AvoidedUpstreams lists the upstreams at which earlier attempts failed.
	AvoidedUpstreams []fleet.UpstreamID
}

// Result is the outcome of an attempt at an upstream.
type Result int

const (
	// Answered means that the upstream sent a complete answer.
	Answered Result = iota + 1
	// Refused means that the upstream rejected the request without running it.
	Refused
	// Failed means that the upstream could not be reached or the answer broke off.
	Failed
	// Draining means that the upstream answered that it accepts no new requests.
	Draining
	// Unused means that the slot was released without sending the request.
	Unused
)

// Completion is the report with which the holder of a slot releases it.
type Completion struct {
	Result Result
	// Cost is the total cost of the request in weighted tokens.
	Cost fleet.Tokens
	// FirstTokenLatency is the time from sending the request to the first event of a
	// stream, or to the header of a plain service's answer. It is zero if there was
	// neither, as with a model's answer that is not streamed.
	FirstTokenLatency time.Duration
}

// Slot is the permission to have one request in flight at an upstream.
type Slot interface {
	// Upstream returns the upstream to send the request to.
	Upstream() *schema.Upstream
	// ReportCost reports the cost of the request so far, so that a long answer is
	// charged while it streams. It does not block.
	ReportCost(cost fleet.Tokens)
	// Release releases the slot. It must be called once and does not block.
	Release(completion Completion)
}

// Source grants slots to requests.
type Source interface {
	// Acquire waits until the request is granted a slot. It returns a
	// *refusal.Error at once if the request can't be served in time, and one of
	// reason caller-gone if ctx ends.
	Acquire(ctx context.Context, request Request) (Slot, error)
}
