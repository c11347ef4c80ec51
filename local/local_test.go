package local_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/standin/engine"
)

func TestEveryRouterAnswers(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	fleet := start(ctx, t, local.Options{Routers: 3, Engines: 2, Engine: engine.Options{TimeScale: 0.01}})
	for _, r := range fleet.RouterAddresses {
		for _, stream := range []bool{false, true} {
			answer := chat(ctx, t, r.Callers.String(), stream)
			require.Contains(t, answer, "usage")
		}
	}
}

func start(ctx context.Context, t *testing.T, options local.Options) *local.Fleet {
	t.Helper()
	fleet, err := local.Start(ctx, options)
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return fleet
}

// chat returns the answer to a chat completion of eight tokens.
func chat(ctx context.Context, t *testing.T, address string, stream bool) string {
	t.Helper()
	answer := send(t, chatRequest(ctx, t, address, 8, stream))
	require.Equal(t, http.StatusOK, answer.StatusCode, answer.text)
	return answer.text
}

// chatRequest returns a request for a chat completion.
func chatRequest(ctx context.Context, t *testing.T, address string, tokens int, stream bool) *http.Request {
	t.Helper()
	body := fmt.Sprintf(`{"model":"findings","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"duct 7"}]}`, stream, tokens)
	return newRequest(ctx, t, address+"/v1/chat/completions", body)
}

// orderRequest returns a request for a plain call that may run at most once.
func orderRequest(ctx context.Context, t *testing.T, address string) *http.Request {
	t.Helper()
	return newRequest(ctx, t, address+"/v1/services/orders/dig", "manhole 12")
}

// newRequest returns a POST request of the first account.
func newRequest(ctx context.Context, t *testing.T, url, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+local.AccountKey(0))
	return req
}

// answer is a response with its whole body.
type answer struct {
	*http.Response
	text string
}

// send sends a request and returns its answer.
func send(t *testing.T, req *http.Request) answer {
	t.Helper()
	a, err := sendRequest(req)
	require.NoError(t, err)
	return a
}

// sendRequest is like send, for goroutines other than the test's.
func sendRequest(req *http.Request) (answer, error) {
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{response, string(text)}, err
}
