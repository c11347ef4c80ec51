// Package store is the seam to what the platform gives: a transactional
// table, an object store and a lagging list of VMs. Everything that has to be
// agreed or to last goes through it, and all of it has outages.
package store

import (
	"context"
	"fmt"

	"nutmeglock.example/nutmeglock/fleet"
)

// Key names a row of the table. Parts are separated by slashes.
type Key string

// RowVersion grows with each write of a row. Zero means that the row is absent.
type RowVersion uint64

// Row is what a read returns for one key, also for an absent one.
type Row struct {
	Key     Key
	Value   []byte
	Version RowVersion
}

// Check makes a transaction depend on a row being at a version.
type Check struct {
	Key     Key
	Version RowVersion
}

// Write sets a row, or removes it when Delete is true.
type Write struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Txn is a conditional transaction: all writes apply, or none.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns a row for each key, in the order of keys. It may return an
	// older state than the last commit. It fails with *UnavailableError.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns at most limit rows whose key begins with prefix and is
	// greater than after, in the order of their keys. It fails with *UnavailableError.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies a transaction. It fails with *ConflictError when a check did
	// not hold, *UnavailableError when nothing was applied, and *IndefiniteError when the
	// transaction may have been applied or may yet be.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object whole. It fails with *UnavailableError or *IndefiniteError.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object, *NotFoundError when there is none, or *UnavailableError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMRole tells routers from upstreams in the VM list.
type VMRole string

const (
	// RouterVM runs a router.
	RouterVM VMRole = "router"
	// UpstreamVM runs an upstream.
	UpstreamVM VMRole = "upstream"
)

// VM is one entry of the platform's list.
type VM struct {
	// Name is the router's or upstream's id.
	Name       string
	Role       VMRole
	Address    string
	DataCenter fleet.DataCenterID
	Leaving    bool
}

// VMs is the platform's list of live and leaving VMs. It lags.
type VMs interface {
	// List returns the VMs that the platform believes in. It fails with *UnavailableError.
	List(ctx context.Context) ([]VM, error)
}

// ConflictError is the error of a transaction of which a check did not hold.
type ConflictError struct {
	Key      Key
	Expected RowVersion
	Found    RowVersion
}

// Error names the row and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d, expected %d", e.Key, e.Found, e.Expected)
}

// UnavailableError is the error of a call that certainly had no effect.
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

// IndefiniteError is the error of a write whose reply was lost: it may have been
// applied, may not, or may yet be.
type IndefiniteError struct {
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *IndefiniteError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *IndefiniteError) Unwrap() error { return e.Cause }

// NotFoundError is the error of an object that does not exist.
type NotFoundError struct{ Name string }

// Error names the object.
func (e *NotFoundError) Error() string { return "no object " + e.Name }
