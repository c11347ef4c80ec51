package live

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/stream"
)

// seed is fixed, so that every run sends the same requests.
const seed = 20261202

// pauseAfterRefusal is the pause after a failure without a Retry-After header.
const pauseAfterRefusal = 100 * time.Millisecond

// runCaller sends the requests of an account's nth caller, one after the other,
// until ctx ends.
func (m *measurement) runCaller(ctx context.Context, account, n int, c client) {
	random := rand.New(rand.NewPCG(seed, uint64(account)<<32|uint64(n)))
	for round := 0; ctx.Err() == nil; round++ {
		router := c.router
		if router == anyRouter {
			router = random.IntN(len(m.fleet.RouterAddresses))
		}
		pause := m.sendRequest(ctx, account, router, requestBody(c, account, n, round, random))
		if pause <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// requestBody returns the body of a chat request for an answer of 0.4 to 2.5
// times the client's mean length.
func requestBody(c client, account, n, round int, random *rand.Rand) []byte {
	const least, most = 0.4, 2.5
	tokens := int(float64(c.tokens) * (least + (most-least)*random.Float64()*random.Float64()))
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":"account %d caller %d round %d"}]}`,
		local.ModelService, tokens, tokens, account, n, round)
}

// sendRequest sends one request and reads its answer. It returns the pause
// before the next request.
func (m *measurement) sendRequest(ctx context.Context, account, router int, body []byte) time.Duration {
	url := "http://" + m.fleet.RouterAddresses[router].Callers.String() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return pauseAfterRefusal
	}
	req.Header.Set("Authorization", "Bearer "+local.AccountKey(account))
	r := m.beginRequest(account, len(body))
	defer m.endRequest(r)
	answer, err := m.client.Do(req)
	if err != nil {
		m.countFailure(ctx, "no-answer")
		return pauseAfterRefusal
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		m.countFailure(ctx, refusalReason(answer.Body))
		return retryAfter(answer.Header)
	}
	if err := m.readAnswer(r, answer.Body); err != nil {
		m.countFailure(ctx, "broken")
		return pauseAfterRefusal
	}
	m.countAnswer("answered")
	return 0
}

// readAnswer reads a streamed answer and counts each event as a token.
func (m *measurement) readAnswer(r *request, body io.Reader) error {
	events := stream.NewReader(body)
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if event.IsLast() {
			return nil
		}
		m.recordToken(r)
	}
}

// refusalReason returns the reason in the body of a refusal, or "unreadable".
func refusalReason(body io.Reader) string {
	var refused struct {
		Error struct{ Reason string }
	}
	if json.NewDecoder(body).Decode(&refused) != nil {
		return "unreadable"
	}
	return refused.Error.Reason
}

// retryAfter returns the pause given by a refusal's Retry-After header.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return pauseAfterRefusal
	}
	return time.Duration(seconds) * time.Second
}

// weights holds the default token weights.
var weights estimate.Weights

// inputCost returns the cost of the input of a request body with that many bytes.
func inputCost(bytes int) float64 {
	return float64(weights.Cost(estimate.InputTokens(int64(bytes)), 0))
}
