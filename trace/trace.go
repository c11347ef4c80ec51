// Package trace records what callers asked of a router and what they got, and
// reads it back.
//
// A trace is JSON lines with names in kebab case: a header, then one record
// for each request in the order in which they ended, and where records were
// lost a line that says how many. It holds no bodies, keys or answers, so it
// can be kept and shown.
package trace

import (
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
)

// Format and Version name the format in a trace's header.
const (
	Format  = "nutmeglock-trace"
	Version = 1
)

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	// About says where the trace comes from.
	About string `json:"about,omitempty"`
	// Synthetic is true when the trace was generated and not recorded.
	Synthetic bool `json:"synthetic,omitempty"`
	// Begun is the time that records count from.
	Begun time.Time `json:"begun"`
	// Fleet is the size of the fleet, for replay.
	Fleet Fleet `json:"fleet"`
}

// Fleet is the size of a fleet.
type Fleet struct {
	Name    string `json:"name,omitempty"`
	Routers int    `json:"routers"`
	// Models and Plain are how many upstreams served each kind of service.
	Models int `json:"models"`
	Plain  int `json:"plain"`
	// DelayMicroseconds is one way between data centres.
	DelayMicroseconds int `json:"delay-us"`
}

// Answered is the outcome of a request that was answered whole. Any other
// outcome is the reason of a refusal.
const Answered = "answered"

// Record is one request.
type Record struct {
	// At is when the request arrived, in milliseconds since the trace began.
	At      int64           `json:"at-ms"`
	Account fleet.AccountID `json:"account"`
	Service fleet.ServiceID `json:"service"`
	Kind    fleet.Kind      `json:"kind"`
	// Router is the number of the router that the caller reached, from 0.
	Router int `json:"router"`
	// Input and Output are tokens of a model's request; Prefix names the
	// beginning of its prompt, of PrefixTokens.
	Input        int    `json:"input-tokens,omitempty"`
	Output       int    `json:"output-tokens,omitempty"`
	Prefix       uint64 `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix-tokens,omitempty"`
	// Run is how long a plain call ran at its upstream.
	Run           int64 `json:"run-ms,omitempty"`
	NonIdempotent bool  `json:"non-idempotent,omitempty"`
	// Deadline is how long the caller was willing to wait.
	Deadline int64 `json:"deadline-ms"`
	// Outcome is answered, or the reason of the refusal; empty in a synthetic
	// trace, which was never run.
	Outcome string `json:"outcome,omitempty"`
	// Queue, FirstToken and Total are times since the arrival.
	Queue      int64 `json:"queue-ms,omitempty"`
	FirstToken int64 `json:"first-token-ms,omitempty"`
	Total      int64 `json:"total-ms,omitempty"`
}

// FieldError says which field of a record holds what it may not.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and what is wrong with it.
func (e *FieldError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Reason) }

// Check returns a *FieldError for the first field that holds what it may not,
// and nil when there is none.
func (r Record) Check() error {
	switch {
	case r.Account == "":
		return &FieldError{"account", "is missing"}
	case r.Service == "":
		return &FieldError{"service", "is missing"}
	case r.Kind != fleet.Model && r.Kind != fleet.Plain:
		return &FieldError{"kind", fmt.Sprintf("is %q; it has to be model or plain", r.Kind)}
	case r.Kind == fleet.Model && r.Output < 1 && r.Outcome == Answered:
		return &FieldError{"output-tokens", "is missing of an answered request"}
	case r.Deadline < 1:
		return &FieldError{"deadline-ms", "has to be at least 1"}
	case !isOutcome(r.Outcome):
		return &FieldError{"outcome", fmt.Sprintf("is %q, which is neither answered nor the reason of a refusal", r.Outcome)}
	}
	return r.checkNumbers()
}

func (r Record) checkNumbers() error {
	numbers := []struct {
		field string
		value int64
	}{
		{"at-ms", r.At},
		{"router", int64(r.Router)},
		{"input-tokens", int64(r.Input)},
		{"output-tokens", int64(r.Output)},
		{"prefix-tokens", int64(r.PrefixTokens)},
		{"run-ms", r.Run},
		{"queue-ms", r.Queue},
		{"first-token-ms", r.FirstToken},
		{"total-ms", r.Total},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return &FieldError{n.field, fmt.Sprintf("is %d; it can't be negative", n.value)}
		}
	}
	return nil
}

func isOutcome(outcome string) bool {
	if outcome == "" || outcome == Answered {
		return true
	}
	for _, reason := range refusal.Reasons() {
		if outcome == string(reason) {
			return true
		}
	}
	return false
}

// check returns an error for a header that this package can't read.
func (h Header) check() error {
	switch {
	case h.Format != Format:
		return &FieldError{"format", fmt.Sprintf("is %q; it has to be %q", h.Format, Format)}
	case h.Version != Version:
		return &FieldError{"version", fmt.Sprintf("is %d; this program reads %d", h.Version, Version)}
	case h.Fleet.Routers < 1:
		return &FieldError{"fleet.routers", "has to be at least 1"}
	case h.Fleet.Models < 0 || h.Fleet.Plain < 0 || h.Fleet.DelayMicroseconds < 0:
		return &FieldError{"fleet", "holds a negative number"}
	}
	return nil
}
