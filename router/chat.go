package router

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
)

// chatRequest holds the fields of a chat-completions request that the router
// reads. The body is forwarded unchanged.
type chatRequest struct {
	Model               string          `json:"model"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

// handleChat serves a chat completion, streamed or not.
func (r *Router) handleChat(c echo.Context) error {
	parsed, refused := r.readRequest(c)
	if refused != nil {
		return refused
	}
	var chat chatRequest
	if err := json.Unmarshal(parsed.body, &chat); err != nil {
		return refusal.New(refusal.BadRequest, "the body is no chat-completions JSON: "+err.Error(), 0)
	}
	if refused := chat.validate(); refused != nil {
		return refused
	}
	service, refused := r.authorisedService(c, parsed.account, fleet.ServiceID(chat.Model), fleet.Model)
	if refused != nil {
		return refused
	}
	request := parsed.callRequest(c, service)
	request.Idempotent = c.Request().Header.Get(HeaderNonIdempotent) != "true"
	request.Prefixes = prefixHashes(chat.Messages)
	request.EstimatedCost = r.Estimator.EstimateChat(parsed.account, service, len(parsed.body), chat.maxOutputTokens())
	return r.passToRunner(c, request)
}

// validate returns a refusal if a required field is missing or out of range.
func (q chatRequest) validate() *refusal.Error {
	switch {
	case q.Model == "":
		return refusal.New(refusal.BadRequest, "the body names no model", 0)
	case len(q.Messages) == 0 || q.Messages[0] != '[':
		return refusal.New(refusal.BadRequest, "the body has no list of messages", 0)
	case q.maxOutputTokens() < 0:
		return refusal.New(refusal.BadRequest, fmt.Sprintf("max_tokens is %d; allowed is 0 and more", q.maxOutputTokens()), 0)
	}
	return nil
}

// maxOutputTokens prefers max_completion_tokens, which replaces max_tokens.
func (q chatRequest) maxOutputTokens() int {
	if q.MaxCompletionTokens != 0 {
		return q.MaxCompletionTokens
	}
	return q.MaxTokens
}

const (
	// prefixBlockBytes is the size of a hashed block: about 256 tokens, or
	// several blocks of a typical KV cache.
	prefixBlockBytes = 1024
	// maxPrefixBlocks limits hashing of long prompts; the first 16 KiB are
	// enough to distinguish the prompts of different applications.
	maxPrefixBlocks = 16
)

// prefixHashes returns one hash for each complete block at the start of the
// messages. Each hash covers its block and all blocks before it.
func prefixHashes(messages []byte) []uint64 {
	blockCount := min(len(messages)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blockCount)
	digest := xxhash.New()
	for i := range blockCount {
		_, _ = digest.Write(messages[i*prefixBlockBytes : (i+1)*prefixBlockBytes]) // Digest.Write never returns an error.
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
