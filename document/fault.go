package document

import (
	"fmt"
	"strings"
)

// Kind says in which way a document is at fault.
type Kind string

// The kinds of faults.
const (
	// Syntax is text that is not JSON with comments. Nothing after it was checked.
	Syntax Kind = "syntax"
	// TooLarge is a document over MaxBytes or nested deeper than MaxDepth. Nothing in it was checked.
	TooLarge Kind = "too-large"
	// TrailingData is text after the document's end.
	TrailingData Kind = "trailing-data"
	// UnknownField is a field that the schema does not have.
	UnknownField Kind = "unknown-field"
	// DuplicateField is a field that stands twice in one object.
	DuplicateField Kind = "duplicate-field"
	// AssignedField is a field that nutmeglock fills in itself.
	AssignedField Kind = "assigned-field"
	// WrongType is a value of another JSON type than the schema's.
	WrongType Kind = "wrong-type"
	// WrongUnit is a quantity written with a unit, where a plain number of the schema's unit stands.
	WrongUnit Kind = "wrong-unit"
	// Missing is a required field that is absent or empty.
	Missing Kind = "missing"
	// OutOfBounds is a number, a length or a count outside its bounds.
	OutOfBounds Kind = "out-of-bounds"
	// NotAllowed is a string that is not of the form or not among the choices.
	NotAllowed Kind = "not-allowed"
	// Contradiction is a value that another value of the document rules out.
	Contradiction Kind = "contradiction"
	// NotFound is a reference to an entry that does not exist.
	NotFound Kind = "not-found"
	// AlreadyExists is a new entry whose id is taken.
	AlreadyExists Kind = "already-exists"
	// StillInUse is an entry that cannot be withdrawn because another refers to it.
	StillInUse Kind = "still-in-use"
)

// Position is a place in a document, counted from 1; columns count bytes. The
// zero Position stands for an unknown place.
type Position struct {
	Line   int
	Column int
}

// Fault is one thing that is wrong with a document.
type Fault struct {
	File string
	Position
	// Path leads to the field, such as added.accounts[2].weight. It is empty for the whole document.
	Path string
	Kind Kind
	// Found is what the document holds.
	Found string
	// Allowed is what it may hold.
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

// MaxFaults is how many faults a FaultsError lists: more than an operator
// mends in one go, and few enough to bound the answer to a hostile document.
const MaxFaults = 100

// FaultsError is the error of a document with faults. It lists all of them in
// the order of the document, up to MaxFaults.
type FaultsError struct {
	Faults []Fault
	// Dropped counts the faults that are not listed.
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
