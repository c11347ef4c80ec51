package document

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"nutmeglock.example/nutmeglock/schema"
)

// describeField returns the text for a fault on the values that a field allows.
func describeField(field protoreflect.FieldDescriptor) string {
	if !field.IsList() {
		return describeValue(field)
	}
	rule := schema.RuleOf(field)
	parts := []string{"a list of " + pluralType(field)}
	if bounds := describeBounds(rule, " of them"); bounds != "" {
		parts = append(parts, bounds)
	}
	return strings.Join(append(parts, describeFormat(rule)...), ", ")
}

// describeValue is describeField for a single value: that of a scalar or object
// field, or one element of a list.
func describeValue(field protoreflect.FieldDescriptor) string {
	rule := schema.RuleOf(field)
	parts := []string{describeType(field, rule)}
	if bounds := describeBounds(withUnsignedMin(field, rule), lengthUnit(field)); bounds != "" && !field.IsList() {
		parts = append(parts, bounds)
	}
	return strings.Join(append(parts, describeFormat(rule)...), ", ")
}

// describeFormat returns the choices of the rule and its description of the format.
func describeFormat(rule *schema.Rule) []string {
	var parts []string
	if len(rule.GetOneOf()) > 0 {
		parts = append(parts, "one of "+strings.Join(rule.GetOneOf(), ", "))
	}
	if rule.GetAbout() != "" {
		parts = append(parts, rule.GetAbout())
	}
	return parts
}

func describeType(field protoreflect.FieldDescriptor, rule *schema.Rule) string {
	switch field.Kind() {
	case protoreflect.StringKind:
		return "a string"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.MessageKind:
		return "an object"
	}
	text := "a whole number"
	if rule.GetUnit() != "" {
		text += " of " + rule.GetUnit()
	}
	return text
}

// withUnsignedMin returns the rule, or for an unsigned field without a lower bound
// a rule with the lower bound zero and the same upper bound.
func withUnsignedMin(field protoreflect.FieldDescriptor, rule *schema.Rule) *schema.Rule {
	unsigned := field.Kind() == protoreflect.Uint32Kind || field.Kind() == protoreflect.Uint64Kind
	if !unsigned || rule.GetSetMin() {
		return rule
	}
	return &schema.Rule{SetMin: true, SetMax: rule.GetSetMax(), Max: rule.GetMax()}
}

// pluralType returns the plural name of a field's JSON type.
func pluralType(field protoreflect.FieldDescriptor) string {
	switch field.Kind() {
	case protoreflect.StringKind:
		return "strings"
	case protoreflect.MessageKind:
		return "objects"
	default:
		return "numbers"
	}
}

// lengthUnit returns the unit of bounds on the length of a string, or "".
func lengthUnit(field protoreflect.FieldDescriptor) string {
	if field.Kind() == protoreflect.StringKind {
		return " characters"
	}
	return ""
}

// describeBounds returns the bounds of the rule followed by the unit, or "" if it has none.
func describeBounds(rule *schema.Rule, unit string) string {
	low, high := formatBound(rule.GetMin()), formatBound(rule.GetMax())
	switch {
	case rule.GetSetMin() && rule.GetSetMax():
		return fmt.Sprintf("from %s to %s%s", low, high, unit)
	case rule.GetSetMin():
		return "at least " + low + unit
	case rule.GetSetMax():
		return "at most " + high + unit
	}
	return ""
}

func formatBound(bound float64) string { return strconv.FormatFloat(bound, 'f', -1, 64) }

// fieldNames returns the JSON names of the fields that a document may set.
func fieldNames(message protoreflect.MessageDescriptor) []string {
	fields := message.Fields()
	names := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		if !schema.RuleOf(fields.Get(i)).GetAssigned() {
			names = append(names, fields.Get(i).JSONName())
		}
	}
	return names
}

// maxEditDistance limits the edit distance between a name and a suggestion for
// it. With three edits, any short name can become any other.
const maxEditDistance = 2

// nearestField returns the most similar field name, or "" if none is similar.
// It converts snake case and camel case to kebab case first.
func nearestField(message protoreflect.MessageDescriptor, name string) string {
	return Nearest(toKebabCase(name), fieldNames(message))
}

// Nearest returns the most similar candidate, or "" if none is similar. Of
// several with the same edit distance it returns the alphabetically first.
func Nearest(name string, candidates []string) string {
	if len(name) > maxShownBytes {
		return ""
	}
	nearest, minDistance := "", maxEditDistance+1
	for _, candidate := range candidates {
		d := levenshtein(name, candidate)
		if d >= len(candidate) || d > minDistance || (d == minDistance && candidate >= nearest) {
			continue
		}
		nearest, minDistance = candidate, d
	}
	if minDistance > maxEditDistance {
		return ""
	}
	return nearest
}

// toKebabCase converts snake case and camel case to kebab case.
func toKebabCase(name string) string {
	var b strings.Builder
	for i, c := range name {
		switch {
		case c == '_':
			b.WriteByte('-')
		case c >= 'A' && c <= 'Z':
			if i > 0 {
				b.WriteByte('-')
			}
			b.WriteRune(c - 'A' + 'a')
		default:
			b.WriteRune(c)
		}
	}
	return b.String()
}

// levenshtein returns the Levenshtein distance between two strings, in bytes.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
