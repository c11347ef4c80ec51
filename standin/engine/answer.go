package engine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxTokens is the longest answer to a request that names no max_tokens.
const defaultMaxTokens = 256

// created is the creation time in every answer, which is fixed so that answers
// to equal requests are equal.
const created = 1767225600

// The bounds of a prefix block.
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
	// MinTokens is the least length of the answer. Equal to MaxTokens, it fixes the length.
	MinTokens int `json:"min_tokens"`
}

func (r chatRequest) maxTokens() int {
	return orElse(r.MaxCompletionTokens, orElse(r.MaxTokens, defaultMaxTokens))
}

// prompt is the length of a prompt and the hashes of its beginnings.
type prompt struct {
	seed   uint64
	tokens int
	// blocks are the xxhash of the first 64, 128, 192, ... bytes of the
	// request's messages as they stand in its JSON.
	blocks []uint64
}

func newPrompt(messages []byte) prompt {
	p := prompt{
		seed:   xxhash.Sum64(messages),
		tokens: (len(messages) + bytesPerToken - 1) / bytesPerToken,
	}
	digest := xxhash.New()
	for rest := messages; len(rest) >= blockBytes; rest = rest[blockBytes:] {
		_, _ = digest.Write(rest[:blockBytes]) // A Digest never fails.
		p.blocks = append(p.blocks, digest.Sum64())
	}
	return p
}

var words = strings.Fields("duct cable survey finding trench splice permit venue host member " +
	"booking order camera depth metre blocked clear north south gravel clay water joint panel")

// answer is the whole answer to a request, known from its beginning.
type answer struct {
	id           string
	model        string
	words        []string
	promptTokens int
	finish       string
}

func newAnswer(request chatRequest, p prompt) answer {
	seed := xxhash.Sum64String(fmt.Sprintf("%s %d %d %d", request.Model, request.MinTokens, request.maxTokens(), p.seed))
	random := rand.New(rand.NewPCG(seed, p.seed))
	longest := request.maxTokens()
	shortest := min(longest, max(1, orElse(request.MinTokens, longest/4)))
	a := answer{id: fmt.Sprintf("chatcmpl-%016x", seed), model: request.Model, promptTokens: p.tokens, finish: "stop"}
	length := shortest + random.IntN(longest-shortest+1)
	if length == longest {
		a.finish = "length"
	}
	for range length {
		a.words = append(a.words, words[random.IntN(len(words))]+" ")
	}
	return a
}

func (a answer) tokens() int { return len(a.words) }

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *text   `json:"message,omitempty"`
	Delta        *text   `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
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
	wholeObject = "chat.completion"
	chunkObject = "chat.completion.chunk"
)

func (a answer) completion(object string, choices ...choice) completion {
	return completion{ID: a.id, Object: object, Created: created, Model: a.model, Choices: choices}
}

func (a answer) usage() *usage {
	return &usage{PromptTokens: a.promptTokens, CompletionTokens: a.tokens(), TotalTokens: a.promptTokens + a.tokens()}
}

// chunk returns the data of the event with a token's index.
func (a answer) chunk(index int) []byte {
	c := choice{Delta: &text{Content: a.words[index]}}
	if index == 0 {
		c.Delta.Role = "assistant"
	}
	if index == len(a.words)-1 {
		c.FinishReason = &a.finish
	}
	return encode(a.completion(chunkObject, c))
}

func (a answer) usageChunk() []byte {
	c := a.completion(chunkObject)
	c.Choices = []choice{}
	c.Usage = a.usage()
	return encode(c)
}

// whole returns the body of an answer that is not streamed.
func (a answer) whole() []byte {
	message := text{Role: "assistant", Content: strings.Join(a.words, "")}
	c := a.completion(wholeObject, choice{Message: &message, FinishReason: &a.finish})
	c.Usage = a.usage()
	return encode(c)
}

// event returns a server-sent event.
func event(id int, data []byte) []byte { return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", id, data) }

func encode(c completion) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: the type holds nothing that JSON lacks.
	}
	return data
}
