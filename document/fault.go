package document

import (
	"fmt"
	"strings"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	// Syntax is text that is not valid JSON with comments. Nothing after it is checked.
	Syntax FaultKind = "syntax"
	// TooLarge is a document over MaxBytes or nested deeper than MaxDepth. Nothing in it is checked.
	TooLarge FaultKind = "too-large"
	// TrailingData is text after the JSON value.
	TrailingData FaultKind = "trailing-data"
	// UnknownField is a field that is not in the schema.
	UnknownField FaultKind = "unknown-field"
	// DuplicateField is a field that occurs twice in one object.
	DuplicateField FaultKind = "duplicate-field"
	// AssignedField is a field that only nutmeglock may set.
	AssignedField FaultKind = "assigned-field"
	// WrongType is a value whose JSON type differs from the schema.
	WrongType FaultKind = "wrong-type"
	// WrongUnit is a string with a number and a unit, in place of a number in the
	// unit of the schema.
	WrongUnit FaultKind = "wrong-unit"
	// Missing is a required field that is absent or empty.
	Missing FaultKind = "missing"
	// OutOfBounds is a number, or the length of a string or list, outside its bounds.
	OutOfBounds FaultKind = "out-of-bounds"
	// NotAllowed is a string that does not match the pattern or the choices of its rule.
	NotAllowed FaultKind = "not-allowed"
	// Contradiction is a value that conflicts with another value of the document.
	Contradiction FaultKind = "contradiction"
	// NotFound is a reference to an entry that does not exist.
	NotFound FaultKind = "not-found"
	// AlreadyExists is a new entry whose id is already in use.
	AlreadyExists FaultKind = "already-exists"
	// StillInUse is an entry that cannot be withdrawn because another refers to it.
	StillInUse FaultKind = "still-in-use"
)

// Position is a line and a column in a document. Both count from 1, and columns
// count bytes. The zero value is an unknown position.
type Position struct {
	Line   int
	Column int
}

// Fault is a validation error in a document.
type Fault struct {
	File string
	Position
	// Path is the path of the field, such as added.accounts[2].weight. It is empty
	// for the whole document.
	Path string
	Kind FaultKind
	// Found describes the value in the document.
	Found string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the fault as one line: file, position, path, what was found and what is allowed.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(": " + f.Path)
	}
	fmt.Fprintf(&b, ": %s: found %s; allowed: %s", f.Kind, f.Found, f.Allowed)
	return b.String()
}

// MaxFaults limits the faults of a FaultsError. It is more than an operator
// corrects at a time, and bounds the response to a malicious document.
const MaxFaults = 100

// FaultsError lists the faults of a document by position, up to MaxFaults.
type FaultsError struct {
	Faults []Fault
	// Dropped is the number of faults beyond MaxFaults.
	Dropped int
}

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	if e.Dropped > 0 {
		lines = append(lines, fmt.Sprintf("and %d more faults", e.Dropped))
	}
	return strings.Join(lines, "\n")
}
