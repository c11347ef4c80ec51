// Package document reads JSON with comments against a message of the schema
// and reports everything that is wrong with it at once, each fault with its
// place, its path, what was found and what is allowed.
//
// Fields go by their kebab-case JSON names. The bounds come from the rule
// option in schema/rule.proto. Strings, booleans, numbers, messages and lists
// of them are read; no document of the schema holds enums, bytes or maps.
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
	// MaxBytes bounds a document. A note that adds all of 36,000 accounts at
	// about 150 bytes is 5 MB.
	MaxBytes = 8 << 20
	// MaxDepth bounds the nesting. The parser recurses, so that a document of
	// millions of opening brackets would exhaust the stack, which ends the
	// process. The schema nests 5 deep.
	MaxDepth = 32
)

// Document is a message that was read, together with the places of its fields
// and the faults found so far.
type Document[M proto.Message] struct {
	// Message holds what could be read. It is never nil.
	Message M
	// File is the name that faults show.
	File string

	positions map[string]Position
	faults    []Fault
	dropped   int
}

// Read returns the message that data holds, or *FaultsError. The name of the
// file is only shown in faults.
func Read[M proto.Message](file string, data []byte) (M, error) {
	d := Parse[M](file, data)
	if err := d.Err(); err != nil {
		var none M
		return none, err
	}
	return d.Message, nil
}

// Parse returns the document that data holds, with its faults, so that a
// caller can look for contradictions and add them before it asks for Err.
func Parse[M proto.Message](file string, data []byte) *Document[M] {
	var none M
	message, _ := none.ProtoReflect().New().Interface().(M)
	d := &Document[M]{Message: message, File: file, positions: map[string]Position{}}
	r := &reader{data: data, positions: d.positions, add: d.add, full: func() bool { return len(d.faults) == MaxFaults }}
	r.read(d.Message.ProtoReflect())
	return d
}

// Add adds a fault at the path. Its position is that of the path's field, or
// of the nearest object around it that the document holds.
func (d *Document[M]) Add(path string, kind Kind, found, allowed string) {
	d.add(Fault{Position: d.position(path), Path: path, Kind: kind, Found: found, Allowed: allowed})
}

// Err returns *FaultsError when the document has faults.
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

func (d *Document[M]) add(f Fault) {
	if len(d.faults) == MaxFaults {
		d.dropped++
		return
	}
	f.File = d.File
	d.faults = append(d.faults, f)
}

func (d *Document[M]) position(path string) Position {
	for {
		if at, ok := d.positions[path]; ok {
			return at
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return d.positions[""]
		}
		path = path[:cut]
	}
}

// parse returns the JSON value in data. It reports false when there is none;
// the fault is then added already.
func (r *reader) parse() (hujson.Value, bool) {
	if len(r.data) > MaxBytes {
		r.add(Fault{Kind: TooLarge, Found: fmt.Sprintf("%d bytes", len(r.data)), Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)})
		return hujson.Value{}, false
	}
	if at, deep := tooDeep(r.data); deep {
		r.add(Fault{Position: r.at(at), Kind: TooLarge, Found: "deeper nesting", Allowed: fmt.Sprintf("at most %d levels", MaxDepth)})
		return hujson.Value{}, false
	}
	value, err := hujson.Parse(r.data)
	if err == nil {
		return value, true
	}
	at, text := splitParseError(err)
	if strings.Contains(text, "after top-level value") {
		r.add(Fault{Position: at, Kind: TrailingData, Found: text, Allowed: "one JSON value"})
		return value, true
	}
	r.add(Fault{Position: at, Kind: Syntax, Found: text, Allowed: "JSON with comments"})
	return hujson.Value{}, false
}

// splitParseError takes apart the parser's error, which has no type: its text
// begins with "hujson: line 3, column 7: ".
func splitParseError(err error) (Position, string) {
	var at Position
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &at.Line, &at.Column); scanErr != nil {
		return Position{Line: 1, Column: 1}, text
	}
	if _, rest, ok := strings.Cut(text, ": line "); ok {
		_, text, _ = strings.Cut(rest, ": ")
	}
	if doing, ended := strings.CutSuffix(text, ": unexpected EOF"); ended {
		text = "the end of the file while " + doing
	}
	return at, text
}

// tooDeep returns the offset of the first bracket that is nested deeper than
// MaxDepth, strings and comments aside.
func tooDeep(data []byte) (int, bool) {
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

// skipString returns the offset of the quote that ends the string that begins at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that begins at i, or i when none does.
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

// at returns the position of an offset. The offsets of a document are asked
// for in growing order, so that the scan goes on from the last one.
func (r *reader) at(offset int) Position {
	if offset < r.lastOffset {
		r.lastOffset, r.lastLine, r.lineStart = 0, 0, 0
	}
	for i := r.lastOffset; i < offset && i < len(r.data); i++ {
		if r.data[i] == '\n' {
			r.lastLine++
			r.lineStart = i + 1
		}
	}
	r.lastOffset = offset
	return Position{Line: r.lastLine + 1, Column: offset - r.lineStart + 1}
}

// Locate fills in the file and the positions of faults that were found in the
// message without its document.
func (d *Document[M]) Locate(faults []Fault) []Fault {
	located := slices.Clone(faults)
	for i, f := range located {
		if f.Line > 0 {
			continue
		}
		located[i].File = d.File
		located[i].Position = d.position(f.Path)
	}
	return located
}
