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

// readScalar reads a string, boolean or number. If it returns false, it has
// added a fault.
func (r *reader) readScalar(path string, value hujson.Value, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	literal, _ := value.Value.(hujson.Literal)
	switch field.Kind() {
	case protoreflect.StringKind:
		return r.readString(path, value, literal, field)
	case protoreflect.BoolKind:
		if kind := literal.Kind(); kind != 't' && kind != 'f' {
			r.addFaultAt(path, value, WrongType, describeValue(field))
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfBool(literal.Bool()), true
	default:
		return r.readNumber(path, value, literal, field)
	}
}

func (r *reader) readString(path string, value hujson.Value, literal hujson.Literal, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	rule := schema.RuleOf(field)
	text, found, kind := "", formatValue(value), WrongType
	if literal.Kind() == '"' {
		text = literal.String()
		kind = checkString(rule, text, field.IsList())
	}
	if kind == "" {
		return protoreflect.ValueOfString(text), true
	}
	if rule.GetSecret() { // Faults are printed to logs and terminals that others may read.
		found = describeSecret(literal)
	}
	r.addFault(Fault{Position: r.positionAt(value.StartOffset), Path: path, Kind: kind, Found: found, Allowed: describeValue(field)})
	return protoreflect.Value{}, false
}

// describeSecret describes the value of a secret field without revealing it.
func describeSecret(literal hujson.Literal) string {
	if literal.Kind() == '"' {
		return fmt.Sprintf("a string of %d characters", utf8.RuneCountInString(literal.String()))
	}
	return "a value that is no string"
}

// checkString returns the kind of fault in a string, or "" if it is valid. The
// bounds of a list field's rule don't apply to its elements.
func checkString(rule *schema.Rule, text string, isElement bool) FaultKind {
	switch {
	case text == "" && rule.GetRequired():
		return Missing
	case text == "":
		return ""
	case !isElement && !withinBounds(rule, float64(utf8.RuneCountInString(text))):
		return OutOfBounds
	case rule.GetPattern() != "" && !compilePattern(rule.GetPattern()).MatchString(text):
		return NotAllowed
	case len(rule.GetOneOf()) > 0 && !slices.Contains(rule.GetOneOf(), text):
		return NotAllowed
	}
	return ""
}

func (r *reader) readNumber(path string, value hujson.Value, literal hujson.Literal, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	text := string(literal)
	switch {
	case literal.Kind() == '0':
	case literal.Kind() == '"' && is64Bit(field.Kind()) && digitsPattern.MatchString(literal.String()):
		text = literal.String() // The standard protobuf JSON form of 64-bit integers.
	case literal.Kind() == '"' && quantityPattern.MatchString(literal.String()):
		r.addFaultAt(path, value, WrongUnit, describeValue(field)+unitHint(field, literal.String()))
		return protoreflect.Value{}, false
	default:
		r.addFaultAt(path, value, WrongType, describeValue(field))
		return protoreflect.Value{}, false
	}
	number, kind := parseNumber(text, field.Kind())
	if kind == "" && !withinBounds(schema.RuleOf(field), number.approximate) {
		kind = OutOfBounds
	}
	if kind != "" {
		r.addFaultAt(path, value, kind, describeValue(field))
		return protoreflect.Value{}, false
	}
	return number.value, true
}

var (
	digitsPattern = regexp.MustCompile(`^[0-9]{1,20}$`)
	// quantityPattern matches a number with a unit, such as "5 s".
	quantityPattern = regexp.MustCompile(`^\s*[0-9]+(\.[0-9]+)?\s*[a-zA-Zµ%]{1,12}\s*$`)
)

// parsedNumber is a number with an approximation for comparison with bounds.
type parsedNumber struct {
	value       protoreflect.Value
	approximate float64
}

// is64Bit reports whether kind is a 64-bit integer, which JSON may also have as a string.
func is64Bit(kind protoreflect.Kind) bool {
	return kind == protoreflect.Uint64Kind || kind == protoreflect.Int64Kind || kind == protoreflect.Sint64Kind
}

// parseNumber returns the number in text for a field of the kind, or the kind of fault.
func parseNumber(text string, kind protoreflect.Kind) (parsedNumber, FaultKind) {
	approximate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return parsedNumber{}, OutOfBounds
	}
	if kind == protoreflect.DoubleKind {
		return parsedNumber{protoreflect.ValueOfFloat64(approximate), approximate}, ""
	}
	if approximate != math.Trunc(approximate) {
		return parsedNumber{}, WrongType
	}
	switch kind {
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(integerText(text, approximate), 10, 32)
		return parsedNumber{protoreflect.ValueOfUint32(uint32(n)), approximate}, rangeFault(err)
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(integerText(text, approximate), 10, 64)
		return parsedNumber{protoreflect.ValueOfUint64(n), approximate}, rangeFault(err)
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		n, err := strconv.ParseInt(integerText(text, approximate), 10, 64)
		return parsedNumber{protoreflect.ValueOfInt64(n), approximate}, rangeFault(err)
	}
	return parsedNumber{}, WrongType
}

// integerText formats a whole number without exponent and fraction, so that 1e3
// becomes 1000.
func integerText(text string, approximate float64) string {
	if digitsPattern.MatchString(text) {
		return text
	}
	return strconv.FormatFloat(approximate, 'f', 0, 64)
}

// rangeFault returns the kind of fault for an error of strconv.
func rangeFault(err error) FaultKind {
	if err != nil {
		return OutOfBounds
	}
	return ""
}

func withinBounds(rule *schema.Rule, n float64) bool {
	if rule.GetSetMin() && n < rule.GetMin() {
		return false
	}
	return !rule.GetSetMax() || n <= rule.GetMax()
}

// unitHint returns a hint with the number of milliseconds if text is a duration
// and the field is in milliseconds, else "".
func unitHint(field protoreflect.FieldDescriptor, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil || schema.RuleOf(field).GetUnit() != "ms" {
		return ""
	}
	return "; write " + strconv.FormatInt(d.Milliseconds(), 10)
}

// patternCache holds compiled patterns by their text.
var patternCache sync.Map

// compilePattern returns the compiled pattern, which matches whole strings only.
func compilePattern(pattern string) *regexp.Regexp {
	if cached, ok := patternCache.Load(pattern); ok {
		if compiled, ok := cached.(*regexp.Regexp); ok {
			return compiled
		}
	}
	compiled := regexp.MustCompile("^(?:" + pattern + ")$")
	patternCache.Store(pattern, compiled)
	return compiled
}
