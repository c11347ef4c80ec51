package document

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"nutmeglock.example/nutmeglock/schema"
)

// describe returns what a field may hold, as a fault shows it.
func describe(field protoreflect.FieldDescriptor) string {
	if !field.IsList() {
		return describeOne(field)
	}
	rule := schema.RuleOf(field)
	parts := []string{"a list of " + plural(field)}
	if bounds := describeBounds(rule, " of them"); bounds != "" {
		parts = append(parts, bounds)
	}
	return strings.Join(append(parts, describeForm(rule)...), ", ")
}

// describeOne returns what a field, or one element of a list, may hold.
func describeOne(field protoreflect.FieldDescriptor) string {
	rule := schema.RuleOf(field)
	parts := []string{describeType(field, rule)}
	if bounds := describeBounds(fromZero(field, rule), counted(field)); bounds != "" && !field.IsList() {
		parts = append(parts, bounds)
	}
	return strings.Join(append(parts, describeForm(rule)...), ", ")
}

func describeForm(rule *schema.Rule) []string {
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

// fromZero returns the rule with the lower bound that an unsigned type has by itself.
func fromZero(field protoreflect.FieldDescriptor, rule *schema.Rule) *schema.Rule {
	unsigned := field.Kind() == protoreflect.Uint32Kind || field.Kind() == protoreflect.Uint64Kind
	if !unsigned || rule.GetSetMin() {
		return rule
	}
	return &schema.Rule{SetMin: true, SetMax: rule.GetSetMax(), Max: rule.GetMax()}
}

func plural(field protoreflect.FieldDescriptor) string {
	switch field.Kind() {
	case protoreflect.StringKind:
		return "strings"
	case protoreflect.MessageKind:
		return "objects"
	default:
		return "numbers"
	}
}

func counted(field protoreflect.FieldDescriptor) string {
	if field.Kind() == protoreflect.StringKind {
		return " characters"
	}
	return ""
}

func describeBounds(rule *schema.Rule, counted string) string {
	low, high := formatBound(rule.GetMin()), formatBound(rule.GetMax())
	switch {
	case rule.GetSetMin() && rule.GetSetMax():
		return fmt.Sprintf("from %s to %s%s", low, high, counted)
	case rule.GetSetMin():
		return "at least " + low + counted
	case rule.GetSetMax():
		return "at most " + high + counted
	}
	return ""
}

func formatBound(bound float64) string { return strconv.FormatFloat(bound, 'f', -1, 64) }

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

// maxDistance is how many edits a name may be away from the one that is
// suggested for it. Three edits turn short names into any other.
const maxDistance = 2

// nearestField returns the field that a name was probably meant to be, or
// nothing. Underscores and capitals count as the hyphens of kebab case.
func nearestField(message protoreflect.MessageDescriptor, name string) string {
	return Nearest(kebab(name), fieldNames(message))
}

// Nearest returns the candidate that a name was probably meant to be, or
// nothing. Of several equally near ones it returns the alphabetically first.
func Nearest(name string, candidates []string) string {
	if len(name) > maxShown {
		return ""
	}
	nearest, least := "", maxDistance+1
	for _, candidate := range candidates {
		d := distance(name, candidate)
		if d >= len(candidate) || d > least || (d == least && candidate >= nearest) {
			continue
		}
		nearest, least = candidate, d
	}
	if least > maxDistance {
		return ""
	}
	return nearest
}

func kebab(name string) string {
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

// distance returns the Levenshtein distance of two strings, in bytes.
func distance(a, b string) int {
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
