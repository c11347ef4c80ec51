// Package schema holds the messages that nutmeglock writes and reads, generated
// from the .proto files beside it, and the rules of their fields.
package schema

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// RuleOf returns the rule of a field, nil when it has none. A nil rule answers
// each getter with the zero value.
func RuleOf(field protoreflect.FieldDescriptor) *Rule {
	rule, _ := proto.GetExtension(field.Options(), E_Rule).(*Rule)
	return rule
}
