// Package trace records the requests that a router receives and their outcomes,
// and reads such traces.
//
// A trace consists of JSON lines with field names in kebab case: a header, then
// one record per request in the order in which the requests ended. Where records
// were dropped, a line gives their number. A trace contains no bodies, keys or
// answers, so that it can be kept and shared.
package trace

import (
	"fmt"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
)

// Format and Version identify the file format in the header of a trace.
const (
	Format  = "nutmeglock-trace"
	Version = 1
)

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	// About describes the origin of the trace.
	About string `json:"about,omitempty"`
	// Synthetic is true if the trace was generated, not recorded.
	Synthetic bool `json:"synthetic,omitempty"`
	// Begun is the time to which the times of records are relative.
	Begun time.Time `json:"begun"`
	// Fleet is the size of the fleet, for replay.
	Fleet Fleet `json:"fleet"`
}

// Fleet is the size of a fleet.
type Fleet struct {
	Name    string `json:"name,omitempty"`
	Routers int    `json:"routers"`
	// Models and Plain are the numbers of upstreams that served each kind of service.
	Models int `json:"models"`
	Plain  int `json:"plain"`
	// DelayMicroseconds is the one-way delay between data centres.
	DelayMicroseconds int `json:"delay-us"`
}

// Answered is the outcome of a request that was answered completely. Any other
// outcome is the reason for a refusal.
const Answered = "answered"

// Record describes one request.
type Record struct {
	// At is the arrival of the request, in milliseconds since Header.Begun.
	At      int64           `json:"at-ms"`
	Account fleet.AccountID `json:"account"`
	Service fleet.ServiceID `json:"service"`
	Kind    fleet.Kind      `json:"kind"`
	// Router is the index, from 0, of the router that received the request.
	Router int `json:"router"`
	// Input and Output are the tokens of a request to a model. Prefix identifies
	// the prefix of its prompt, which has PrefixTokens tokens.
	Input        int    `json:"input-tokens,omitempty"`
	Output       int    `json:"output-tokens,omitempty"`
	Prefix       uint64 `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix-tokens,omitempty"`
	// Run is the time in milliseconds that a plain call ran at its upstream.
	Run           int64 `json:"run-ms,omitempty"`
	NonIdempotent bool  `json:"non-idempotent,omitempty"`
	// Deadline is the time in milliseconds that the caller was willing to wait.
	Deadline int64 `json:"deadline-ms"`
	// Outcome is Answered or the reason for the refusal. It is empty in a
	// synthetic trace, which was never run.
	Outcome string `json:"outcome,omitempty"`
	// Queue, FirstToken and Total are times in milliseconds since the arrival.
	Queue      int64 `json:"queue-ms,omitempty"`
	FirstToken int64 `json:"first-token-ms,omitempty"`
	Total      int64 `json:"total-ms,omitempty"`
}

// FieldError reports an invalid field of a header or record.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Reason) }

// Check returns a *FieldError for the first invalid field, or nil.
func (r Record) Check() error {
	switch {
	case r.Account == "":
		return &FieldError{"account", "is missing"}
	case r.Service == "":
		return &FieldError{"service", "is missing"}
	case r.Kind != fleet.Model && r.Kind != fleet.Plain:
		return &FieldError{"kind", fmt.Sprintf("is %q; it has to be model or plain", r.Kind)}
	case r.Kind == fleet.Model && r.Output < 1 && r.Outcome == Answered:
		return &FieldError{"output-tokens", "is missing from an answered request"}
	case r.Deadline < 1:
		return &FieldError{"deadline-ms", "has to be at least 1"}
	case !isValidOutcome(r.Outcome):
		return &FieldError{"outcome", fmt.Sprintf("is %q, which is neither answered nor the reason of a refusal", r.Outcome)}
	}
	return r.validateNumbers()
}

func (r Record) validateNumbers() error {
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

func isValidOutcome(outcome string) bool {
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

// validate returns a *FieldError if the header is invalid or of an unsupported version.
func (h Header) validate() error {
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
