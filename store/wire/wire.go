// Package wire holds the JSON messages between a router and the platform's
// HTTP interface. A write that was refused without effect is answered with 503
// (down) or 429 (rate limit); any other failure leaves its outcome open.
package wire

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/store"
)

// The paths of the interface. ObjectPath is followed by the object's name.
const (
	ReadPath   = "/table/read"
	ScanPath   = "/table/scan"
	CommitPath = "/table/commit"
	ObjectPath = "/objects/"
	VMsPath    = "/vms"
	FaultsPath = "/faults"
	LimitsPath = "/limits"
	CountsPath = "/counts"
)

// ReadRequest asks for rows by their keys.
type ReadRequest struct {
	Keys []store.Key `json:"keys"`
}

// ScanRequest asks for the rows of a prefix.
type ScanRequest struct {
	Prefix store.Key `json:"prefix"`
	After  store.Key `json:"after,omitempty"`
	Limit  int       `json:"limit"`
}

// RowsReply answers a read and a scan.
type RowsReply struct {
	Rows []Row `json:"rows"`
}

// Row is a store.Row.
type Row struct {
	Key     store.Key        `json:"key"`
	Value   []byte           `json:"value,omitempty"`
	Version store.RowVersion `json:"version,omitempty"`
}

// CommitRequest is a store.Txn.
type CommitRequest struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes,omitempty"`
}

// Check is a store.Check.
type Check struct {
	Key     store.Key        `json:"key"`
	Version store.RowVersion `json:"version"`
}

// Write is a store.Write.
type Write struct {
	Key    store.Key `json:"key"`
	Value  []byte    `json:"value,omitempty"`
	Delete bool      `json:"delete,omitempty"`
}

// ConflictReply is the body of a 409 answer.
type ConflictReply struct {
	Key      store.Key        `json:"key"`
	Expected store.RowVersion `json:"expected"`
	Found    store.RowVersion `json:"found"`
}

// ErrorReply is the body of the other answers that are errors.
type ErrorReply struct {
	Error string `json:"error"`
}

// VMsReply answers a list of VMs, and orders one in a test.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// VM is a store.VM.
type VM struct {
	Name       string             `json:"name"`
	Role       store.VMRole       `json:"role"`
	Address    string             `json:"address"`
	DataCenter fleet.DataCenterID `json:"data-center"`
	Leaving    bool               `json:"leaving,omitempty"`
}

// Limits orders bounds on operations a second in a test. Zero means no bound.
type Limits struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}
