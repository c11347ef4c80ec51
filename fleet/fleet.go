// Package fleet defines the named types that the other packages share: ids, numbers and units. It
// imports no other package of the project.
package fleet

import (
	"log/slog"
	"time"
)

// AccountID identifies a client account.
type AccountID string

// ServiceID identifies a model or a plain application.
type ServiceID string

// ServiceKind is the kind of a service, spelt as in release notes.
type ServiceKind string

// The kinds of services.
const (
	// Model is a model that is called with chat completions.
	Model ServiceKind = "model"
	// Plain is an application that plain HTTP requests are forwarded to.
	Plain ServiceKind = "plain"
)

// UpstreamID identifies a back end of a service.
type UpstreamID string

// SoftwareVersion is the version of an upstream's software; empty if it isn't known.
type SoftwareVersion string

// RouterID identifies a router of the fleet.
type RouterID string

// DataCenterID identifies a data centre.
type DataCenterID string

// RegionID identifies a region, which has one or several data centres.
type RegionID string

// RequestID identifies a caller's request. Every answer carries it.
type RequestID string

// maxLoggedID is the length in bytes up to which ids are logged. Callers choose them.
const maxLoggedID = 64

// Short returns the first part of the id.
func (id RequestID) Short() RequestID { return id[:min(len(id), maxLoggedID)] }

// LogValue returns the first part of the id.
func (id RequestID) LogValue() slog.Value { return slog.StringValue(string(id.Short())) }

// ShortID identifies an account, a service or an upstream in control messages. A release note
// assigns it, and it is never reused.
type ShortID uint32

// Version is the number of a release note, counted in the order of acceptance. Zero means none.
type Version uint64

// Tokens is an amount of service in weighted tokens: a sum of input and output tokens with weights
// in thousandths, or the declared cost of a plain call.
type Tokens int64

// Incarnation orders the starts of one router. It is the wall-clock time of the start in
// milliseconds since 1970.
type Incarnation int64

// IncarnationAt returns the incarnation of a router that starts at t.
func IncarnationAt(t time.Time) Incarnation {
	return Incarnation(t.UnixMilli())
}
