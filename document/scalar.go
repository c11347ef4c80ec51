package document

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"nutmeglock.example/nutmeglock/schema"
)

// scalar returns the string, boolean or number that value holds for a field,
// or false after it added a fault.
func (r *reader) scalar(path string, value hujson.Value, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	literal, _ := value.Value.(hujson.Literal)
	switch field.Kind() {
	case protoreflect.StringKind:
		return r.text(path, value, literal, field)
	case protoreflect.BoolKind:
		if kind := literal.Kind(); kind != 't' && kind != 'f' {
			r.fault(path, value, WrongType, describeOne(field))
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfBool(literal.Bool()), true
	default:
		return r.number(path, value, literal, field)
	}
}

func (r *reader) text(path string, value hujson.Value, literal hujson.Literal, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	rule := schema.RuleOf(field)
	text, found, kind := "", show(value), WrongType
	if literal.Kind() == '"' {
		text = literal.String()
		kind = textFault(rule, text, field.IsList())
	}
	if kind == "" {
		return protoreflect.ValueOfString(text), true
	}
	if rule.GetSecret() { // Faults go to logs and terminals, which others read.
		found = hidden(literal)
	}
	r.add(Fault{Position: r.at(value.StartOffset), Path: path, Kind: kind, Found: found, Allowed: describeOne(field)})
	return protoreflect.Value{}, false
}

// hidden stands for the value of a secret field.
func hidden(literal hujson.Literal) string {
	if literal.Kind() == '"' {
		return fmt.Sprintf("a string of %d characters", utf8.RuneCountInString(literal.String()))
	}
	return "a value that is no string"
}

// textFault returns the kind of fault of a string, or none.
func textFault(rule *schema.Rule, text string, element bool) Kind {
	switch {
	case text == "" && rule.GetRequired():
		return Missing
	case text == "":
		return ""
	case !element && !within(rule, float64(utf8.RuneCountInString(text))):
		return OutOfBounds
	case rule.GetPattern() != "" && !wholeMatch(rule.GetPattern()).MatchString(text):
		return NotAllowed
	case len(rule.GetOneOf()) > 0 && !slices.Contains(rule.GetOneOf(), text):
		return NotAllowed
	}
	return ""
}

func (r *reader) number(path string, value hujson.Value, literal hujson.Literal, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	text := string(literal)
	switch {
	case literal.Kind() == '0':
	case literal.Kind() == '"' && wide(field.Kind()) && digits.MatchString(literal.String()):
		text = literal.String() // The standard JSON form of 64-bit numbers.
	case literal.Kind() == '"' && quantity.MatchString(literal.String()):
		r.fault(path, value, WrongUnit, describeOne(field)+inUnit(field, literal.String()))
		return protoreflect.Value{}, false
	default:
		r.fault(path, value, WrongType, describeOne(field))
		return protoreflect.Value{}, false
	}
	number, kind := parseNumber(text, field.Kind())
	if kind == "" && !within(schema.RuleOf(field), number.approximate) {
		kind = OutOfBounds
	}
	if kind != "" {
		r.fault(path, value, kind, describeOne(field))
		return protoreflect.Value{}, false
	}
	return number.value, true
}

var (
	digits   = regexp.MustCompile(`^[0-9]{1,20}$`)
	quantity = regexp.MustCompile(`^\s*[0-9]+(\.[0-9]+)?\s*[a-zA-Zµ%]{1,12}\s*$`)
)

type number struct {
	value       protoreflect.Value
	approximate float64
}

func wide(kind protoreflect.Kind) bool {
	return kind == protoreflect.Uint64Kind || kind == protoreflect.Int64Kind || kind == protoreflect.Sint64Kind
}

func parseNumber(text string, kind protoreflect.Kind) (number, Kind) {
	approximate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return number{}, OutOfBounds
	}
	if kind == protoreflect.DoubleKind {
		return number{protoreflect.ValueOfFloat64(approximate), approximate}, ""
	}
	if approximate != math.Trunc(approximate) {
		return number{}, WrongType
	}
	switch kind {
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(whole(text, approximate), 10, 32)
		return number{protoreflect.ValueOfUint32(uint32(n)), approximate}, rangeKind(err)
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(whole(text, approximate), 10, 64)
		return number{protoreflect.ValueOfUint64(n), approximate}, rangeKind(err)
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		n, err := strconv.ParseInt(whole(text, approximate), 10, 64)
		return number{protoreflect.ValueOfInt64(n), approximate}, rangeKind(err)
	}
	return number{}, WrongType
}

// whole returns a whole number without exponent and fraction: 1e3 as 1000.
func whole(text string, approximate float64) string {
	if digits.MatchString(text) {
		return text
	}
	return strconv.FormatFloat(approximate, 'f', 0, 64)
}

func rangeKind(err error) Kind {
	if err != nil {
		return OutOfBounds
	}
	return ""
}

func within(rule *schema.Rule, n float64) bool {
	if rule.GetSetMin() && n < rule.GetMin() {
		return false
	}
	return !rule.GetSetMax() || n <= rule.GetMax()
}

// inUnit returns a hint with the quantity in the field's unit, when it is a
// duration in a field of milliseconds.
func inUnit(field protoreflect.FieldDescriptor, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil || schema.RuleOf(field).GetUnit() != "ms" {
		return ""
	}
	return "; write " + strconv.FormatInt(d.Milliseconds(), 10)
}

var patterns sync.Map

// wholeMatch returns the compiled pattern, anchored at both ends.
func wholeMatch(pattern string) *regexp.Regexp {
	if known, ok := patterns.Load(pattern); ok {
		if compiled, ok := known.(*regexp.Regexp); ok {
			return compiled
		}
	}
	compiled := regexp.MustCompile("^(?:" + pattern + ")$")
	patterns.Store(pattern, compiled)
	return compiled
}
