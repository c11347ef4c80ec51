package engine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxTokens is the maximum length of the answer to a request without max_tokens.
const defaultMaxTokens = 256

// createdUnix is the creation time in every answer. It is fixed so that equal
// requests get equal answers.
const createdUnix = 1767225600

// The size of a prefix block, and the number of prompt bytes counted as one token.
const (
	bytesPerToken = 4
	blockTokens   = 16
	blockBytes    = blockTokens * bytesPerToken
)

type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	// MinTokens is the minimum length of the answer. If it equals MaxTokens, the
	// length is fixed.
	MinTokens int `json:"min_tokens"`
}

func (r chatRequest) maxTokens() int {
	return valueOr(r.MaxCompletionTokens, valueOr(r.MaxTokens, defaultMaxTokens))
}

// prompt holds the hash and length of a prompt and the hashes of its prefixes.
type prompt struct {
	hash   uint64
	tokens int
	// blockHashes are the xxhash sums of the first 64, 128, 192, ... bytes of the
	// request's raw JSON messages.
	blockHashes []uint64
}

func newPrompt(messages []byte) prompt {
	p := prompt{
		hash:   xxhash.Sum64(messages),
		tokens: (len(messages) + bytesPerToken - 1) / bytesPerToken,
	}
	digest := xxhash.New()
	for rest := messages; len(rest) >= blockBytes; rest = rest[blockBytes:] {
		_, _ = digest.Write(rest[:blockBytes]) // A Digest never fails.
		p.blockHashes = append(p.blockHashes, digest.Sum64())
	}
	return p
}

var vocabulary = strings.Fields("duct cable survey finding trench splice permit venue host member " +
	"booking order camera depth metre blocked clear north south gravel clay water joint panel")

// answer is the complete answer to a request, generated when the request arrives.
type answer struct {
	id           string
	model        string
	tokenTexts   []string
	promptTokens int
	finishReason string
}

func newAnswer(request chatRequest, p prompt) answer {
	seed := xxhash.Sum64String(fmt.Sprintf("%s %d %d %d", request.Model, request.MinTokens, request.maxTokens(), p.hash))
	random := rand.New(rand.NewPCG(seed, p.hash))
	maxLength := request.maxTokens()
	minLength := min(maxLength, max(1, valueOr(request.MinTokens, maxLength/4)))
	a := answer{id: fmt.Sprintf("chatcmpl-%016x", seed), model: request.Model, promptTokens: p.tokens, finishReason: "stop"}
	length := minLength + random.IntN(maxLength-minLength+1)
	if length == maxLength {
		a.finishReason = "length"
	}
	for range length {
		a.tokenTexts = append(a.tokenTexts, vocabulary[random.IntN(len(vocabulary))]+" ")
	}
	return a
}

func (a answer) tokenCount() int { return len(a.tokenTexts) }

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int      `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

const (
	completionObject = "chat.completion"
	chunkObject      = "chat.completion.chunk"
)

func (a answer) completion(object string, choices ...choice) completion {
	return completion{ID: a.id, Object: object, Created: createdUnix, Model: a.model, Choices: choices}
}

func (a answer) usage() *usage {
	return &usage{PromptTokens: a.promptTokens, CompletionTokens: a.tokenCount(), TotalTokens: a.promptTokens + a.tokenCount()}
}

// tokenChunk returns the event data for the token at an index.
func (a answer) tokenChunk(index int) []byte {
	c := choice{Delta: &chatMessage{Content: a.tokenTexts[index]}}
	if index == 0 {
		c.Delta.Role = "assistant"
	}
	if index == len(a.tokenTexts)-1 {
		c.FinishReason = &a.finishReason
	}
	return marshal(a.completion(chunkObject, c))
}

func (a answer) usageChunk() []byte {
	c := a.completion(chunkObject)
	c.Choices = []choice{}
	c.Usage = a.usage()
	return marshal(c)
}

// body returns the response body of an answer that is not streamed.
func (a answer) body() []byte {
	message := chatMessage{Role: "assistant", Content: strings.Join(a.tokenTexts, "")}
	c := a.completion(completionObject, choice{Message: &message, FinishReason: &a.finishReason})
	c.Usage = a.usage()
	return marshal(c)
}

// serverSentEvent formats a server-sent event.
func serverSentEvent(id int, data []byte) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", id, data)
}

func marshal(c completion) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // Unreachable: every field can be encoded as JSON.
	}
	return data
}
