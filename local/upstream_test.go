package local_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/schema"
)

// heldService is the service of a heldEngine.
const heldService = "held"

// heldEngine is a model engine that sends the first event of a stream and holds
// the rest until resume is closed.
type heldEngine struct {
	resume chan struct{}
	// cancelled receives the IDs of cancelled streams.
	cancelled chan string
}

// heldRequest is the body of a request to a heldEngine, and heldStream its answer.
const heldRequest = `{"model":"held","stream":true,"messages":[]}`

const heldStream = "id: 1\ndata: {}\n\n" +
	"id: 2\ndata: {\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":1}}\n\n" +
	"id: 3\ndata: [DONE]\n\n"

// newHeldEngine starts an engine and adds it to the fleet by a release note.
func newHeldEngine(ctx context.Context, t *testing.T, fleet *local.Fleet, slots uint32) *heldEngine {
	t.Helper()
	e := &heldEngine{resume: make(chan struct{}), cancelled: make(chan string, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("DELETE /v1/streams/{id}", func(_ http.ResponseWriter, r *http.Request) { e.cancelled <- r.PathValue("id") })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	_, err := fleet.Publish(ctx, 0, &schema.ReleaseNote{Summary: "an engine that holds its streams", Added: &schema.Entries{
		Services: []*schema.Service{{Id: heldService, Kind: "model"}},
		Upstreams: []*schema.Upstream{{
			Id: "held-1", Service: heldService, DataCenter: "local", Slots: slots,
			Address: strings.TrimPrefix(server.URL, "http://"),
		}},
	}})
	require.NoError(t, err)
	return e
}

func (e *heldEngine) chat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("nutmeglock-stream-id", r.Header.Get("nutmeglock-stream-id"))
	first, rest, _ := strings.Cut(heldStream, "\n\n")
	_, _ = io.WriteString(w, first+"\n\n")
	_ = http.NewResponseController(w).Flush()
	select {
	case <-e.resume:
		_, _ = io.WriteString(w, rest)
	case <-r.Context().Done():
	}
}

// firstRefusal sends requests until a stopping router refuses one.
func firstRefusal(ctx context.Context, t *testing.T, address string) answer {
	t.Helper()
	for {
		if a := send(t, orderRequest(ctx, t, address)); a.StatusCode != http.StatusOK {
			return a
		}
	}
}

// beginStream starts a stream of the held engine and waits for its first event.
func beginStream(ctx context.Context, t *testing.T, address string) (stream io.ReadCloser, first string) {
	t.Helper()
	response, err := http.DefaultClient.Do(newRequest(ctx, t, address+"/v1/chat/completions", heldRequest))
	require.NoError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	require.Equal(t, http.StatusOK, response.StatusCode)
	event := make([]byte, strings.Index(heldStream, "\n\n")+len("\n\n"))
	_, err = io.ReadFull(response.Body, event)
	require.NoError(t, err)
	return response.Body, string(event)
}
