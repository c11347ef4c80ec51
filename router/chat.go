package router

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
)

// chatRequest is the part of a chat-completions request that the router
// looks at. The body goes to the upstream unchanged.
type chatRequest struct {
	Model               string          `json:"model"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

// chat serves one chat completion, whole or as a stream.
func (r *Router) chat(c echo.Context) error {
	in, refused := r.accept(c)
	if refused != nil {
		return refused
	}
	var chat chatRequest
	if err := json.Unmarshal(in.body, &chat); err != nil {
		return refusal.New(refusal.BadRequest, "the body is no chat-completions JSON: "+err.Error(), 0)
	}
	if refused := chat.check(); refused != nil {
		return refused
	}
	service, refused := r.service(c, in.account, fleet.ServiceID(chat.Model), fleet.Model)
	if refused != nil {
		return refused
	}
	request := in.request(c, service)
	request.Idempotent = c.Request().Header.Get(HeaderNonIdempotent) != "true"
	request.Prefix = prefixBlocks(chat.Messages)
	request.Estimate = r.Estimator.Model(in.account, service, len(in.body), chat.maxTokens())
	return r.run(c, request)
}

func (q chatRequest) check() *refusal.Error {
	switch {
	case q.Model == "":
		return refusal.New(refusal.BadRequest, "the body names no model", 0)
	case len(q.Messages) == 0 || q.Messages[0] != '[':
		return refusal.New(refusal.BadRequest, "the body has no list of messages", 0)
	case q.maxTokens() < 0:
		return refusal.New(refusal.BadRequest, fmt.Sprintf("max_tokens is %d; allowed is 0 and more", q.maxTokens()), 0)
	}
	return nil
}

func (q chatRequest) maxTokens() int {
	if q.MaxCompletionTokens != 0 {
		return q.MaxCompletionTokens
	}
	return q.MaxTokens
}

const (
	// prefixBlockBytes is about 256 tokens, several blocks of a usual KV cache.
	prefixBlockBytes = 1024
	// maxPrefixBlocks bounds the work for a long prompt; the first 16 KiB tell
	// prompts of different applications apart.
	maxPrefixBlocks = 16
)

// prefixBlocks returns a hash for each whole block at the beginning of the
// messages, each over all that comes before it.
func prefixBlocks(messages []byte) []uint64 {
	count := min(len(messages)/prefixBlockBytes, maxPrefixBlocks)
	blocks := make([]uint64, 0, count)
	digest := xxhash.New()
	for i := range count {
		_, _ = digest.Write(messages[i*prefixBlockBytes : (i+1)*prefixBlockBytes]) // A Digest never fails.
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}
