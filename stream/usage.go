package stream

import (
	"bytes"
	"encoding/json"
)

// Usage is what an engine says that an answer took.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

var usageField = []byte(`"usage"`)

// ReadUsage returns the usage in a chat completion or in a chunk of one, and
// false when it holds none. It parses only what mentions a usage.
func ReadUsage(data []byte) (Usage, bool) {
	if !bytes.Contains(data, usageField) {
		return Usage{}, false
	}
	var holder struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &holder) != nil || holder.Usage == nil {
		return Usage{}, false
	}
	if holder.Usage.PromptTokens < 0 || holder.Usage.CompletionTokens < 0 {
		return Usage{}, false
	}
	return *holder.Usage, true
}
