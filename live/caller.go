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

// seed makes every run ask the same.
const seed = 20261202

// pauseAfterRefusal is used when a refusal names no time to come back.
const pauseAfterRefusal = 100 * time.Millisecond

// call sends one request after the other until ctx ends.
func (m *measure) call(ctx context.Context, account, n int, c client) {
	random := rand.New(rand.NewPCG(seed, uint64(account)<<32|uint64(n)))
	for round := 0; ctx.Err() == nil; round++ {
		router := c.router
		if router == anyRouter {
			router = random.IntN(len(m.fleet.Routers))
		}
		pause := m.ask(ctx, account, router, body(c, account, n, round, random))
		if pause <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// body returns a request for an answer of 0.4 to 2.5 times the mean length.
func body(c client, account, n, round int, random *rand.Rand) []byte {
	const least, most = 0.4, 2.5
	tokens := int(float64(c.tokens) * (least + (most-least)*random.Float64()*random.Float64()))
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":"account %d caller %d round %d"}]}`,
		local.ModelService, tokens, tokens, account, n, round)
}

// ask sends one request and reads its answer. It returns how long to wait
// before the next.
func (m *measure) ask(ctx context.Context, account, router int, body []byte) time.Duration {
	url := "http://" + m.fleet.Routers[router].Callers.String() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return pauseAfterRefusal
	}
	req.Header.Set("Authorization", "Bearer "+local.AccountKey(account))
	r := m.begin(account, len(body))
	defer m.end(r)
	answer, err := m.client.Do(req)
	if err != nil {
		m.failed(ctx, "no-answer")
		return pauseAfterRefusal
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		m.failed(ctx, reasonOf(answer.Body))
		return comeBack(answer.Header)
	}
	if err := m.read(r, answer.Body); err != nil {
		m.failed(ctx, "broken")
		return pauseAfterRefusal
	}
	m.count("answered")
	return 0
}

// read counts the events of a streamed answer as they arrive.
func (m *measure) read(r *request, body io.Reader) error {
	events := stream.NewReader(body)
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if event.Last() {
			return nil
		}
		m.token(r)
	}
}

func reasonOf(body io.Reader) string {
	var refused struct {
		Error struct{ Reason string }
	}
	if json.NewDecoder(body).Decode(&refused) != nil {
		return "unreadable"
	}
	return refused.Error.Reason
}

func comeBack(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return pauseAfterRefusal
	}
	return time.Duration(seconds) * time.Second
}

// weights are those of a service that names none.
var weights estimate.Weights

func inputCost(bytes int) float64 {
	return float64(weights.Cost(estimate.InputTokens(int64(bytes)), 0))
}
