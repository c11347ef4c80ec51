package call_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/resume"
	"nutmeglock.example/nutmeglock/schema"
)

// A router dies in the middle of a stream, or its caller's connection does.
// The caller takes up the rest at another router and has the whole answer;
// nobody else can.
func TestStreamIsResumedThroughAnotherRouter(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 12)
	one, two := newRunner(upstreams(e.URL)), newRunner(upstreams(e.URL))
	var err error
	one.Tokens, err = resume.New("fleet key")
	require.NoError(t, err)
	two.Tokens, err = resume.New("fleet key")
	require.NoError(t, err)
	request := chat()
	request.Header = http.Header{call.ResumableHeader: {"true"}}
	ctx, cancel := context.WithCancel(t.Context())
	first := &leaving{httptest.NewRecorder(), 3, cancel}
	require.Error(t, one.Run(ctx, first, request))
	resumption := call.Resumption{
		ID: "r-9", Account: request.Account, After: 3, Deadline: time.Now().Add(time.Minute),
		Token: first.Header().Get(call.ResumeTokenHeader),
	}
	e.cuts = []int{8}
	rest := httptest.NewRecorder()

	require.NoError(t, two.Resume(t.Context(), rest, resumption))

	require.Equal(t, answer(12), first.Body.String()+rest.Body.String())
	require.Equal(t, "text/event-stream", rest.Header().Get("Content-Type"))
	require.Equal(t, []string{"3", "7"}, e.resumed)
	require.Equal(t, 1, e.runs)

	stranger := resumption
	stranger.Account = &schema.Account{Id: "kilimanjaro"}
	w := httptest.NewRecorder()
	requireRefused(t, two.Resume(t.Context(), w, stranger), refusal.BadResumeToken, refusal.NotRun)
	require.Empty(t, w.Body.String())

	e.stream = "another stream"
	requireRefused(t, two.Resume(t.Context(), w, resumption), refusal.ResumeExpired, refusal.Run)
	e.Close()
	requireRefused(t, two.Resume(t.Context(), w, resumption), refusal.UpstreamFailed, refusal.Run)
}
