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
	// Origin describes the origin of the trace.
	Origin string `json:"about,omitempty"`
	// Synthetic is true if the trace was generated, not recorded.
	Synthetic bool `json:"synthetic,omitempty"`
	// StartTime is the time to which the times of records are relative.
	StartTime time.Time `json:"begun"`
	// Fleet is the size of the fleet, for replay.
	Fleet Fleet `json:"fleet"`
}

// Fleet is the size of a fleet.
type Fleet struct {
	Name    string `json:"name,omitempty"`
	Routers int    `json:"routers"`
	// ModelUpstreams and PlainUpstreams are the numbers of upstreams that served
	// each kind of service.
	ModelUpstreams int `json:"models"`
	PlainUpstreams int `json:"plain"`
	// OneWayDelayMicroseconds is the one-way delay between data centres.
	OneWayDelayMicroseconds int `json:"delay-us"`
}

// Answered is the outcome of a request that was answered completely. Any other
// outcome is the reason for a refusal.
const Answered = "answered"

// Record describes one request.
type Record struct {
	// ArrivalMs is the arrival of the request, in milliseconds since Header.StartTime.
	ArrivalMs int64             `json:"at-ms"`
	Account   fleet.AccountID   `json:"account"`
	Service   fleet.ServiceID   `json:"service"`
	Kind      fleet.ServiceKind `json:"kind"`
	// RouterIndex is the index, from 0, of the router that received the request.
	RouterIndex int `json:"router"`
	// InputTokens and OutputTokens are the tokens of a request to a model. PrefixID
	// identifies the prefix of its prompt, which has PrefixTokens tokens.
	InputTokens  int    `json:"input-tokens,omitempty"`
	OutputTokens int    `json:"output-tokens,omitempty"`
	PrefixID     uint64 `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix-tokens,omitempty"`
	// RunMs is the time in milliseconds that a plain call ran at its upstream.
	RunMs         int64 `json:"run-ms,omitempty"`
	NonIdempotent bool  `json:"non-idempotent,omitempty"`
	// TimeoutMs is the time in milliseconds that the caller was willing to wait.
	TimeoutMs int64 `json:"deadline-ms"`
	// Outcome is Answered or the reason for the refusal. It is empty in a
	// synthetic trace, which was never run.
	Outcome string `json:"outcome,omitempty"`
	// QueueMs, FirstTokenMs and TotalMs are times in milliseconds since the arrival.
	QueueMs      int64 `json:"queue-ms,omitempty"`
	FirstTokenMs int64 `json:"first-token-ms,omitempty"`
	TotalMs      int64 `json:"total-ms,omitempty"`
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
	case r.Kind == fleet.Model && r.OutputTokens < 1 && r.Outcome == Answered:
		return &FieldError{"output-tokens", "is missing from an answered request"}
	case r.TimeoutMs < 1:
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
		{"at-ms", r.ArrivalMs},
		{"router", int64(r.RouterIndex)},
		{"input-tokens", int64(r.InputTokens)},
		{"output-tokens", int64(r.OutputTokens)},
		{"prefix-tokens", int64(r.PrefixTokens)},
		{"run-ms", r.RunMs},
		{"queue-ms", r.QueueMs},
		{"first-token-ms", r.FirstTokenMs},
		{"total-ms", r.TotalMs},
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
	case h.Fleet.ModelUpstreams < 0 || h.Fleet.PlainUpstreams < 0 || h.Fleet.OneWayDelayMicroseconds < 0:
		return &FieldError{"fleet", "holds a negative number"}
	}
	return nil
}
