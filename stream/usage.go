package stream

import (
	"bytes"
	"encoding/json"
)

// Usage is the token usage that an engine reports for an answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

var usageKey = []byte(`"usage"`)

// ReadUsage returns the usage in a chat completion or a chunk of one. It returns false when there
// is none. Data that doesn't contain the key is not parsed.
func ReadUsage(data []byte) (Usage, bool) {
	if !bytes.Contains(data, usageKey) {
		return Usage{}, false
	}
	var answer struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &answer) != nil || answer.Usage == nil {
		return Usage{}, false
	}
	if answer.Usage.PromptTokens < 0 || answer.Usage.CompletionTokens < 0 {
		return Usage{}, false
	}
	return *answer.Usage, true
}
