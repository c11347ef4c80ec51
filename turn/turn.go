// Package turn decides which request of a service starts next, at which
// upstream, and which is refused.
//
// It answers model engines that admit everything in the order of arrival. Their
// limit is the reading of prompts: a request that is sent to a busy engine
// stands behind all prompts before it, whoever sent them, and is read in vain
// when its caller has left. So work waits here and not there: an engine is sent
// only as many unread prompt tokens as it reads in a part of the time to the
// first event that callers aim at. The rest waits in the routers, where the
// account that was served least goes first, and where a request whose turn
// can't come in time is refused at once.
//
// A Pool needs no network and no clock; times are passed in.
package turn

import (
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// Instance is one life of an upstream. What is known of a former life, such as
// what its cache holds, says nothing about the next.
type Instance struct {
	ID   fleet.UpstreamID
	Life registry.Life
}

// InstanceOf returns the life that an entry is about.
func InstanceOf(u registry.Upstream) Instance { return Instance{ID: u.ID, Life: u.Life} }

// Beginning is a beginning of a prompt that other prompts may share.
type Beginning struct {
	// Hash stands for the whole text from the start to the end of this beginning.
	Hash uint64
	// Tokens is its length.
	Tokens int
}

// Demand is what a request needs.
type Demand struct {
	Account fleet.AccountID
	// Beginnings are those of the prompt, from short to long. The last is the
	// whole prompt.
	Beginnings []Beginning
	// Input and Output are the tokens to be read, and those that will probably
	// be generated.
	Input  int
	Output int
	// Target is the time to the first event that the caller aims at.
	Target time.Duration
	// Patience is how long the request may wait for its turn.
	Patience time.Duration
	// Tried are upstreams that the request isn't sent to again.
	Tried []Instance
}

// Cost returns what a request counts in its account's service: each token that is
// read once, and each that is generated twice, as the users weigh them.
func Cost(input, output int) float64 { return float64(input + 2*output) }

func (d *Demand) cost() float64 { return Cost(d.Input, d.Output) }

// shared returns the hash that requests with the same shared beginning have in
// common. The last part of a prompt is the request's own.
func (d *Demand) shared() uint64 {
	switch n := len(d.Beginnings); n {
	case 0:
		return 0
	case 1:
		return d.Beginnings[0].Hash
	default:
		return d.Beginnings[n-2].Hash
	}
}

// RefusedError is the error of a demand whose turn can't come in time.
type RefusedError struct {
	// Wait is the expected time until its turn.
	Wait time.Duration
	// Waited is how long it waited already.
	Waited time.Duration
	// RetryAfter is when its turn would come at once.
	RetryAfter time.Duration
	// NoUpstream is true when no upstream of the service takes requests.
	NoUpstream bool
	// Held is true when the account got enough beside one that its router holds back.
	Held bool
}

// Error tells the times.
func (e *RefusedError) Error() string {
	if e.NoUpstream {
		return "no upstream takes requests"
	}
	if e.Held {
		return "the account got enough beside one that its router holds back"
	}
	return fmt.Sprintf("turn expected in %v after %v", e.Wait, e.Waited)
}
