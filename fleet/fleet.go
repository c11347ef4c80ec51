// Package fleet holds the named types that the other packages share: ids,
// numbers and units. It imports nothing of the project.
package fleet

import "time"

// AccountID names a client account.
type AccountID string

// ServiceID names a model or a plain application.
type ServiceID string

// Kind tells models from plain services, as release notes spell it.
type Kind string

// The kinds of services.
const (
	// Model is a model that is called by chat completions.
	Model Kind = "model"
	// Plain is a plain application that HTTP calls are passed on to.
	Plain Kind = "plain"
)

// UpstreamID names a back end of one service.
type UpstreamID string

// RouterID names a router of the fleet.
type RouterID string

// DataCenterID names a data centre.
type DataCenterID string

// RequestID names one caller's request. Every answer carries it.
type RequestID string

// Number stands for an account, a service or an upstream in control
// messages. A release note assigns it once and it is never reused.
type Number uint32

// Version counts accepted release notes. Zero means that none is held.
type Version uint64

// Tokens is an amount of service in weighted tokens: a thousandth-weighted sum
// of input and output tokens, or the declared cost of a plain call.
type Tokens int64

// Incarnation orders the starts of one router. It is the wall clock at the
// start, in milliseconds since 1970.
type Incarnation int64

// IncarnationAt returns the incarnation of a router that starts at t.
func IncarnationAt(t time.Time) Incarnation {
	return Incarnation(t.UnixMilli())
}
