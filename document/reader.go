package document

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"nutmeglock.example/nutmeglock/schema"
)

// reader fills a message from the JSON value in data.
type reader struct {
	data      []byte
	positions map[string]Position
	add       func(Fault)
	// full reports whether further faults are only counted.
	full func() bool

	lastOffset int
	lastLine   int
	lineStart  int
}

func (r *reader) read(m protoreflect.Message) {
	value, ok := r.parse()
	if !ok {
		return
	}
	r.positions[""] = r.at(value.StartOffset)
	r.message("", value, m)
}

// fault adds a fault at a value.
func (r *reader) fault(path string, value hujson.Value, kind Kind, allowed string) {
	r.add(Fault{Position: r.at(value.StartOffset), Path: path, Kind: kind, Found: show(value), Allowed: allowed})
}

// message fills m from an object.
func (r *reader) message(path string, value hujson.Value, m protoreflect.Message) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.fault(path, value, WrongType, "an object")
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name, _ := member.Name.Value.(hujson.Literal)
		key := name.String()
		inner := join(path, key)
		if seen[key] {
			r.add(Fault{Position: r.at(member.Name.StartOffset), Path: inner, Kind: DuplicateField, Found: "the field a second time", Allowed: "each field once"})
			continue
		}
		seen[key] = true
		field := m.Descriptor().Fields().ByJSONName(key)
		if field == nil {
			r.unknown(inner, member.Name, m.Descriptor())
			continue
		}
		r.positions[inner] = r.at(member.Name.StartOffset)
		r.field(inner, member.Value, m, field)
	}
	r.missing(path, value, m.Descriptor(), seen)
}

func (r *reader) unknown(path string, name hujson.Value, message protoreflect.MessageDescriptor) {
	if r.full() { // A suggestion that nobody sees costs as much as one that helps.
		r.add(Fault{})
		return
	}
	allowed := "one of " + strings.Join(fieldNames(message), ", ")
	literal, _ := name.Value.(hujson.Literal)
	if nearest := nearestField(message, literal.String()); nearest != "" {
		allowed = fmt.Sprintf("did you mean %q?", nearest)
	}
	r.add(Fault{Position: r.at(name.StartOffset), Path: path, Kind: UnknownField, Found: show(name), Allowed: allowed})
}

func (r *reader) missing(path string, object hujson.Value, message protoreflect.MessageDescriptor, seen map[string]bool) {
	fields := message.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !schema.RuleOf(field).GetRequired() || seen[field.JSONName()] {
			continue
		}
		r.add(Fault{
			Position: r.at(object.StartOffset), Path: join(path, field.JSONName()), Kind: Missing,
			Found: "nothing", Allowed: describe(field),
		})
	}
}

func (r *reader) field(path string, value hujson.Value, m protoreflect.Message, field protoreflect.FieldDescriptor) {
	rule := schema.RuleOf(field)
	if rule.GetAssigned() {
		r.fault(path, value, AssignedField, "nothing; nutmeglock fills it in on acceptance")
		return
	}
	if field.IsList() {
		r.list(path, value, m, field)
		return
	}
	if field.Message() != nil {
		r.message(path, value, m.Mutable(field).Message())
		return
	}
	if scalar, ok := r.scalar(path, value, field); ok {
		m.Set(field, scalar)
	}
}

func (r *reader) list(path string, value hujson.Value, m protoreflect.Message, field protoreflect.FieldDescriptor) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		r.fault(path, value, WrongType, describe(field))
		return
	}
	rule := schema.RuleOf(field)
	if !within(rule, float64(len(array.Elements))) {
		found := fmt.Sprintf("%d elements", len(array.Elements))
		r.add(Fault{Position: r.at(value.StartOffset), Path: path, Kind: OutOfBounds, Found: found, Allowed: describe(field)})
	}
	list := m.Mutable(field).List()
	for i, element := range array.Elements {
		r.element(path+"["+strconv.Itoa(i)+"]", element, list, field)
	}
}

// element appends one element to the list. An element that could not be read
// is appended empty, so that the indexes of the others stay those of the document.
func (r *reader) element(path string, value hujson.Value, list protoreflect.List, field protoreflect.FieldDescriptor) {
	r.positions[path] = r.at(value.StartOffset)
	if field.Message() != nil {
		r.message(path, value, list.AppendMutable().Message())
		return
	}
	scalar, ok := r.scalar(path, value, field)
	if !ok {
		scalar = list.NewElement()
	}
	list.Append(scalar)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxShown bounds how much of a value a fault shows, in bytes.
const maxShown = 60

// show returns a value as a fault shows it.
func show(value hujson.Value) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		text := string(v)
		if len(text) > maxShown {
			return strings.ToValidUTF8(text[:maxShown], "") + "..."
		}
		return text
	}
	return "nothing"
}
