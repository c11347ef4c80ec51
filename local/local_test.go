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
	fleet, err := local.Start(ctx, local.Options{
		Routers: 3, Engines: 2, Engine: engine.Options{TimeScale: 0.01},
	})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	for _, r := range fleet.Routers {
		for _, stream := range []bool{false, true} {
			answer := chat(ctx, t, r.Callers.String(), stream)
			require.Contains(t, answer, "usage")
		}
	}
}

func chat(ctx context.Context, t *testing.T, address string, stream bool) string {
	t.Helper()
	body := fmt.Sprintf(`{"model":"findings","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"duct 7"}]}`, stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+local.AccountKey(0))
	answer, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode, string(text))
	return string(text)
}
