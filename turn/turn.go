// Package turn schedules the requests of a service: it decides which one starts next, at
// which upstream, and which is refused.
//
// Model engines accept every request and run them in order of arrival. Their bottleneck is
// prefill, the reading of prompts: a request sent to a busy engine waits behind all earlier
// prompts of any account, and is read even if its caller has left. Requests are therefore
// queued in the routers: an engine is sent only as many prompt tokens as it reads within a
// fraction of the target time to the first event. In the queue the account with the least
// recent service goes first, and a request that couldn't start in time is refused at once.
//
// A request's turn is the permission to send it to an upstream, granted by its Ticket. A
// Pool uses no network and no clock; times are passed in.
package turn

import (
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/promptcache"
	"nutmeglock.example/nutmeglock/registry"
)

// Instance is one incarnation of an upstream. State of an earlier one, such as the contents
// of its cache, doesn't apply to the next.
type Instance struct {
	ID        fleet.UpstreamID
	StartTime registry.StartTime
}

// InstanceOf returns the instance that an entry describes.
func InstanceOf(u registry.Upstream) Instance { return Instance{ID: u.ID, StartTime: u.StartTime} }

// Prefix is a prefix of a prompt that other prompts may share.
type Prefix = promptcache.Prefix

// Request describes a request to be scheduled.
type Request struct {
	Account fleet.AccountID
	// Prefixes are the prefixes of the prompt from short to long. The last is the whole
	// prompt.
	Prefixes []Prefix
	// Input is the number of prompt tokens, and Output the expected number of tokens of the
	// answer.
	Input  int
	Output int
	// Target is the caller's target time to the first event.
	Target time.Duration
	// Patience is the longest time that the request may wait for its turn.
	Patience time.Duration
	// Left is the time until its caller's deadline, zero if that isn't known.
	Left time.Duration
	// Age is how long ago the request arrived at its router.
	Age time.Duration
	// DataCenter is that of the router that sends the request, where it matters; empty means
	// that of the pool.
	DataCenter fleet.DataCenterID
	// DataCenters are those whose upstreams may serve the request; empty means all.
	DataCenters []fleet.DataCenterID
	// Tried are the instances that the request must not be sent to again.
	Tried []Instance
	// Avoid holds the instances that the request's router must not send to at the moment. It may
	// change while the request waits; nil means none.
	Avoid *avoidance.Set[Instance]
	// LastHolder is the instance at which the router's latest request with the same shared prefix
	// began; zero if it knows none.
	LastHolder Instance
	// Software is the only software version that the request may be sent to, because it began the
	// stream that the request takes up; empty means any.
	Software fleet.SoftwareVersion
}

// Cost returns what a request adds to its account's service: a token read counts once and a
// token generated twice, as users weigh them.
func Cost(input, output int) float64 { return float64(input + 2*output) }

func (r *Request) cost() float64 { return Cost(r.Input, r.Output) }

// sharedPrefix returns the hash of the prefix that the request shares with others. The last
// part of a prompt is the request's own.
func (r *Request) sharedPrefix() uint64 {
	switch n := len(r.Prefixes); n {
	case 0:
		return 0
	case 1:
		return r.Prefixes[0].Hash
	default:
		return r.Prefixes[n-2].Hash
	}
}

// RefusedError is returned for a request that can't get its turn in time.
type RefusedError struct {
	// Wait is the expected time until the request's turn.
	Wait time.Duration
	// Waited is how long the request has waited.
	Waited time.Duration
	// RetryAfter is the delay after which a retry should be granted at once.
	RetryAfter time.Duration
	// NoUpstream is true when no upstream of the service accepts requests.
	NoUpstream bool
	// NoSoftware is true when upstreams accept requests, but none of the version that the request
	// needs.
	NoSoftware bool
	// Lack is what the request lacked.
	Lack Lack
	// Capped is true when the account has reached its service cap, which applies while
	// another account is throttled by its router.
	Capped bool
	// Reserved is true when a turn is kept for a retry after RetryAfter.
	Reserved bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.NoSoftware {
		return "no upstream of the software version that began the stream takes requests"
	}
	switch e.Lack {
	case LackLeaving:
		return "all upstreams are leaving"
	case LackBackoff:
		return fmt.Sprintf("no upstream wants requests for another %v", e.Wait)
	}
	if e.NoUpstream {
		return "no upstream takes requests"
	}
	if e.Capped {
		return "the account reached its service cap next to a throttled account"
	}
	return fmt.Sprintf("turn expected in %v after %v, lack of %s", e.Wait, e.Waited, e.Lack)
}
