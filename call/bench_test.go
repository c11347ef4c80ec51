package call_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkAnswer compares answers read directly from an upstream with the same
// answers relayed by a Runner.
func BenchmarkAnswer(b *testing.B) {
	const events = 320
	body := fullStream(events)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/orders" {
			_, _ = io.WriteString(w, "booked")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for event := range strings.SplitAfterSeq(body, "\n\n") {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer upstream.Close()
	runner := newRunner(newSource(upstream.URL))
	routed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := chatRequest()
		if r.URL.Path == "/orders" {
			request = orderRequest()
			request.Idempotent = true
		}
		request.Deadline = time.Now().Add(time.Minute)
		if runner.Run(r.Context(), w, request) != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer routed.Close()
	for name, server := range map[string]string{"direct": upstream.URL, "routed": routed.URL} {
		for _, path := range []string{"/orders", "/v1/chat/completions"} {
			b.Run(name+path, func(b *testing.B) {
				for b.Loop() {
					response, err := http.Post(server+path, "application/json", strings.NewReader("{}"))
					require.NoError(b, err)
					n, err := io.Copy(io.Discard, response.Body)
					require.NoError(b, err)
					require.Positive(b, n)
					_ = response.Body.Close()
				}
			})
		}
	}
}
