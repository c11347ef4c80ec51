package document

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"nutmeglock.example/nutmeglock/schema"
)

// reader reads the JSON value in data into a message.
type reader struct {
	data      []byte
	positions map[string]Position
	addFault  func(Fault)
	// faultsFull reports whether MaxFaults is reached, so that further faults are
	// only counted.
	faultsFull func() bool

	// State of positionAt: the last offset, the index of its line, and the offset
	// at which that line starts.
	lastOffset int
	lineIndex  int
	lineStart  int
}

func (r *reader) read(m protoreflect.Message) {
	value, ok := r.parse()
	if !ok {
		return
	}
	r.positions[""] = r.positionAt(value.StartOffset)
	r.readMessage("", value, m)
}

// addFaultAt adds a fault at the position of a value.
func (r *reader) addFaultAt(path string, value hujson.Value, kind FaultKind, allowed string) {
	r.addFault(Fault{Position: r.positionAt(value.StartOffset), Path: path, Kind: kind, Found: formatValue(value), Allowed: allowed})
}

// readMessage reads an object into m.
func (r *reader) readMessage(path string, value hujson.Value, m protoreflect.Message) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.addFaultAt(path, value, WrongType, "an object")
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name, _ := member.Name.Value.(hujson.Literal)
		key := name.String()
		fieldPath := joinPath(path, key)
		if seen[key] {
			r.addFault(Fault{Position: r.positionAt(member.Name.StartOffset), Path: fieldPath, Kind: DuplicateField, Found: "the field a second time", Allowed: "each field once"})
			continue
		}
		seen[key] = true
		field := m.Descriptor().Fields().ByJSONName(key)
		if field == nil {
			r.addUnknownField(fieldPath, member.Name, m.Descriptor())
			continue
		}
		r.positions[fieldPath] = r.positionAt(member.Name.StartOffset)
		r.readField(fieldPath, member.Value, m, field)
	}
	r.addMissingFields(path, value, m.Descriptor(), seen)
}

// addUnknownField adds a fault with the most similar field name, or else all names.
func (r *reader) addUnknownField(path string, name hujson.Value, message protoreflect.MessageDescriptor) {
	if r.faultsFull() { // Avoids the cost of a suggestion that is not shown.
		r.addFault(Fault{})
		return
	}
	allowed := "one of " + strings.Join(fieldNames(message), ", ")
	literal, _ := name.Value.(hujson.Literal)
	if nearest := nearestField(message, literal.String()); nearest != "" {
		allowed = fmt.Sprintf("did you mean %q?", nearest)
	}
	r.addFault(Fault{Position: r.positionAt(name.StartOffset), Path: path, Kind: UnknownField, Found: formatValue(name), Allowed: allowed})
}

// addMissingFields adds a fault for each required field that the object lacks.
func (r *reader) addMissingFields(path string, object hujson.Value, message protoreflect.MessageDescriptor, seen map[string]bool) {
	fields := message.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !schema.RuleOf(field).GetRequired() || seen[field.JSONName()] {
			continue
		}
		r.addFault(Fault{
			Position: r.positionAt(object.StartOffset), Path: joinPath(path, field.JSONName()), Kind: Missing,
			Found: "nothing", Allowed: describeField(field),
		})
	}
}

// readField reads a value into a field of m.
func (r *reader) readField(path string, value hujson.Value, m protoreflect.Message, field protoreflect.FieldDescriptor) {
	rule := schema.RuleOf(field)
	if rule.GetAssigned() {
		r.addFaultAt(path, value, AssignedField, "nothing; nutmeglock fills it in on acceptance")
		return
	}
	if field.IsList() {
		r.readList(path, value, m, field)
		return
	}
	if field.Message() != nil {
		r.readMessage(path, value, m.Mutable(field).Message())
		return
	}
	if scalar, ok := r.readScalar(path, value, field); ok {
		m.Set(field, scalar)
	}
}

func (r *reader) readList(path string, value hujson.Value, m protoreflect.Message, field protoreflect.FieldDescriptor) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		r.addFaultAt(path, value, WrongType, describeField(field))
		return
	}
	rule := schema.RuleOf(field)
	if !withinBounds(rule, float64(len(array.Elements))) {
		found := fmt.Sprintf("%d elements", len(array.Elements))
		r.addFault(Fault{Position: r.positionAt(value.StartOffset), Path: path, Kind: OutOfBounds, Found: found, Allowed: describeField(field)})
	}
	list := m.Mutable(field).List()
	for i, element := range array.Elements {
		r.readElement(path+"["+strconv.Itoa(i)+"]", element, list, field)
	}
}

// readElement appends one element to the list. It appends an invalid element as
// its zero value, so that indexes are the same as in the document.
func (r *reader) readElement(path string, value hujson.Value, list protoreflect.List, field protoreflect.FieldDescriptor) {
	r.positions[path] = r.positionAt(value.StartOffset)
	if field.Message() != nil {
		r.readMessage(path, value, list.AppendMutable().Message())
		return
	}
	scalar, ok := r.readScalar(path, value, field)
	if !ok {
		scalar = list.NewElement()
	}
	list.Append(scalar)
}

// joinPath appends a field name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxShownBytes limits the length of a value in a fault.
const maxShownBytes = 60

// formatValue returns a value in the form used in faults.
func formatValue(value hujson.Value) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		text := string(v)
		if len(text) > maxShownBytes {
			return strings.ToValidUTF8(text[:maxShownBytes], "") + "..."
		}
		return text
	}
	return "nothing"
}
