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

// A router crashes within a stream, or its caller's connection breaks. The caller
// must be able to resume the stream at another router and get the whole answer;
// other accounts must not.
func TestStreamIsResumedThroughAnotherRouter(t *testing.T) {
	t.Parallel()
	e := newEngine(t, 12)
	one, two := newRunner(newSource(e.URL)), newRunner(newSource(e.URL))
	var err error
	one.Tokens, err = resume.New("fleet key")
	require.NoError(t, err)
	two.Tokens, err = resume.New("fleet key")
	require.NoError(t, err)
	request := chatRequest()
	request.Header = http.Header{call.ResumableHeader: {"true"}}
	ctx, cancel := context.WithCancel(t.Context())
	first := &leavingCaller{httptest.NewRecorder(), 3, cancel}
	require.Error(t, one.Run(ctx, first, request))
	resumeRequest := call.ResumeRequest{
		ID: "r-9", Account: request.Account, After: 3, Deadline: time.Now().Add(time.Minute),
		Token: first.Header().Get(call.ResumeTokenHeader),
	}
	e.cutsAt = []int{8}
	rest := httptest.NewRecorder()

	require.NoError(t, two.Resume(t.Context(), rest, resumeRequest))

	require.Equal(t, fullStream(12), first.Body.String()+rest.Body.String())
	require.Equal(t, "text/event-stream", rest.Header().Get("Content-Type"))
	require.Equal(t, []string{"3", "7"}, e.resumed)
	require.Equal(t, 1, e.runs)

	otherAccount := resumeRequest
	otherAccount.Account = &schema.Account{Id: "kilimanjaro"}
	w := httptest.NewRecorder()
	requireRefused(t, two.Resume(t.Context(), w, otherAccount), refusal.BadResumeToken, refusal.NotRun)
	require.Empty(t, w.Body.String())

	e.stream = "another stream"
	requireRefused(t, two.Resume(t.Context(), w, resumeRequest), refusal.ResumeExpired, refusal.Run)
	e.Close()
	requireRefused(t, two.Resume(t.Context(), w, resumeRequest), refusal.UpstreamFailed, refusal.Run)
}
