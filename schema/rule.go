// Package schema holds the messages that nutmeglock writes and reads, generated
// from the .proto files in this directory, and the rules of their fields.
package schema

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// RuleOf returns the rule of a field, or nil when it has none. The getters of a
// nil rule return zero values.
func RuleOf(field protoreflect.FieldDescriptor) *Rule {
	rule, _ := proto.GetExtension(field.Options(), E_Rule).(*Rule)
	return rule
}
