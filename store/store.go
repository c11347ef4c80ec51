// Package store defines the interfaces to the platform's services: a
// transactional table, an object store and a list of VMs that lags behind.
// State that routers must agree on or that must outlive them is kept there. Each
// service can be unavailable.
package store

import (
	"context"
	"fmt"

	"nutmeglock.example/nutmeglock/fleet"
)

// Key identifies a row of the table. Its parts are separated by slashes.
type Key string

// RowVersion increases with each write to a row. Zero means that the row does not exist.
type RowVersion uint64

// Row is the result of reading one key, whether or not the row exists.
type Row struct {
	Key     Key
	Value   []byte
	Version RowVersion
}

// Check is a precondition of a transaction: the row must be at this version.
type Check struct {
	Key     Key
	Version RowVersion
}

// Write sets a row, or deletes it if Delete is true.
type Write struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Txn is a conditional transaction. Either all of its writes apply or none.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns one row per key, in the order of keys. It may return a state
	// older than the last commit. It fails with *UnavailableError.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns at most limit rows, in key order, whose key begins with prefix
	// and is greater than after. It fails with *UnavailableError.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies a transaction. It fails with *ConflictError if a check
	// failed, *UnavailableError if nothing was applied, and *UnknownOutcomeError
	// if the transaction may have been applied or may still be applied later.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores or replaces an object atomically. It fails with
	// *UnavailableError or *UnknownOutcomeError.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object. It fails with *NotFoundError or *UnavailableError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMRole is what a VM runs: a router or an upstream.
type VMRole string

const (
	// RouterVM runs a router.
	RouterVM VMRole = "router"
	// UpstreamVM runs an upstream.
	UpstreamVM VMRole = "upstream"
)

// VM is an entry of the platform's VM list.
type VM struct {
	// Name is the router's or upstream's id.
	Name       string
	Role       VMRole
	Address    string
	DataCenter fleet.DataCenterID
	Leaving    bool
}

// VMLister lists the platform's live and leaving VMs. The list lags behind.
type VMLister interface {
	// List returns the VMs known to the platform. It fails with *UnavailableError.
	List(ctx context.Context) ([]VM, error)
}

// ConflictError is returned when a check of a transaction failed.
type ConflictError struct {
	Key      Key
	Expected RowVersion
	Found    RowVersion
}

// Error returns the row's key and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d, expected %d", e.Key, e.Found, e.Expected)
}

// UnavailableError is returned when a call is known to have had no effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable for %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError is returned when the reply to a write was lost: the write may
// have been applied, may never be applied, or may still be applied later.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotFoundError is returned when an object does not exist.
type NotFoundError struct{ Name string }

// Error returns the object's name.
func (e *NotFoundError) Error() string { return "no object " + e.Name }
