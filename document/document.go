// Package document parses JSON with comments into a protobuf message and
// validates it. It reports all faults at once, each with its position, its
// path, what was found and what is allowed.
//
// Fields have kebab-case JSON names. Validation rules come from the rule option
// in schema/rule.proto. Strings, booleans, numbers, messages and lists of them
// are supported; no document of the schema has enums, bytes or maps.
package document

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxBytes limits the size of a document. A release note that adds 36,000
	// accounts of about 150 bytes is 5 MB.
	MaxBytes = 8 << 20
	// MaxDepth limits the nesting. The parser is recursive, so millions of
	// opening brackets would overflow the stack and crash the process. The
	// schema has 5 levels.
	MaxDepth = 32
)

// Document is a parsed message with the positions of its fields and the faults
// found so far.
type Document[M proto.Message] struct {
	// Message holds the values that could be read. It is never nil.
	Message M
	// File is the file name in faults.
	File string

	positions map[string]Position
	faults    []Fault
	dropped   int
}

// Read parses and validates data. It returns *FaultsError if there are faults.
// The file name is used only in faults.
func Read[M proto.Message](file string, data []byte) (M, error) {
	d := Parse[M](file, data)
	if err := d.Err(); err != nil {
		var none M
		return none, err
	}
	return d.Message, nil
}

// Parse is like Read for callers with checks of their own: they can call AddFault
// on the document before they call Err.
func Parse[M proto.Message](file string, data []byte) *Document[M] {
	var none M
	message, _ := none.ProtoReflect().New().Interface().(M)
	d := &Document[M]{Message: message, File: file, positions: map[string]Position{}}
	r := &reader{data: data, positions: d.positions, addFault: d.addFault, faultsFull: func() bool { return len(d.faults) == MaxFaults }}
	r.read(d.Message.ProtoReflect())
	return d
}

// AddFault adds a fault at the path. Its position is that of the field, or of the
// nearest enclosing value that is in the document.
func (d *Document[M]) AddFault(path string, kind FaultKind, found, allowed string) {
	d.addFault(Fault{Position: d.positionOf(path), Path: path, Kind: kind, Found: found, Allowed: allowed})
}

// Err returns *FaultsError if the document has faults, else nil.
func (d *Document[M]) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	faults := slices.Clone(d.faults)
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &FaultsError{Faults: faults, Dropped: d.dropped}
}

func (d *Document[M]) addFault(f Fault) {
	if len(d.faults) == MaxFaults {
		d.dropped++
		return
	}
	f.File = d.File
	d.faults = append(d.faults, f)
}

// positionOf returns the position of the path, or of the nearest enclosing value
// that is in the document.
func (d *Document[M]) positionOf(path string) Position {
	for {
		if position, ok := d.positions[path]; ok {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return d.positions[""]
		}
		path = path[:cut]
	}
}

// parse parses data as JSON with comments. If it returns false, it has added a
// fault.
func (r *reader) parse() (hujson.Value, bool) {
	if len(r.data) > MaxBytes {
		r.addFault(Fault{Kind: TooLarge, Found: fmt.Sprintf("%d bytes", len(r.data)), Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)})
		return hujson.Value{}, false
	}
	if offset, found := findTooDeep(r.data); found {
		r.addFault(Fault{Position: r.positionAt(offset), Kind: TooLarge, Found: "deeper nesting", Allowed: fmt.Sprintf("at most %d levels", MaxDepth)})
		return hujson.Value{}, false
	}
	value, err := hujson.Parse(r.data)
	if err == nil {
		return value, true
	}
	position, text := splitParseError(err)
	if strings.Contains(text, "after top-level value") {
		r.addFault(Fault{Position: position, Kind: TrailingData, Found: text, Allowed: "one JSON value"})
		return value, true
	}
	r.addFault(Fault{Position: position, Kind: Syntax, Found: text, Allowed: "JSON with comments"})
	return hujson.Value{}, false
}

// splitParseError splits an error of hujson into position and message. The error
// is untyped; its text begins with "hujson: line 3, column 7: ".
func splitParseError(err error) (Position, string) {
	var position Position
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &position.Line, &position.Column); scanErr != nil {
		return Position{Line: 1, Column: 1}, text
	}
	if _, rest, ok := strings.Cut(text, ": line "); ok {
		_, text, _ = strings.Cut(rest, ": ")
	}
	if action, ended := strings.CutSuffix(text, ": unexpected EOF"); ended {
		text = "the end of the file while " + action
	}
	return position, text
}

// findTooDeep returns the offset of the first bracket nested deeper than
// MaxDepth. It ignores brackets in strings and comments.
func findTooDeep(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return i, true
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string that starts at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at
// i, or i if there is none.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	var end int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		if end = bytes.Index(rest[2:], []byte("*/")); end >= 0 {
			end += len("/*") + 1
		}
	default:
		return i
	}
	if end < 0 {
		return len(data)
	}
	return i + end
}

// positionAt returns the position of an offset. It continues from the last
// offset, because calls mostly have increasing offsets.
func (r *reader) positionAt(offset int) Position {
	if offset < r.lastOffset {
		r.lastOffset, r.lineIndex, r.lineStart = 0, 0, 0
	}
	for i := r.lastOffset; i < offset && i < len(r.data); i++ {
		if r.data[i] == '\n' {
			r.lineIndex++
			r.lineStart = i + 1
		}
	}
	r.lastOffset = offset
	return Position{Line: r.lineIndex + 1, Column: offset - r.lineStart + 1}
}

// LocateFaults fills in the file and position of faults that were found without
// the document and therefore have none.
func (d *Document[M]) LocateFaults(faults []Fault) []Fault {
	located := slices.Clone(faults)
	for i, f := range located {
		if f.Line > 0 {
			continue
		}
		located[i].File = d.File
		located[i].Position = d.positionOf(f.Path)
	}
	return located
}
