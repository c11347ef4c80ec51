package resume_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/resume"
	"nutmeglock.example/nutmeglock/schema"
)

var now = time.Unix(1e9, 0)

func token() *schema.ResumeToken {
	return &schema.ResumeToken{
		Account: "halonen", Service: "findings", Upstream: "w-1", Address: "127.0.0.1:9", Stream: "0123",
		ExpiresUnixMs: now.Add(time.Minute).UnixMilli(),
	}
}

func issuer(tb testing.TB, key string) *resume.Issuer {
	tb.Helper()
	i, err := resume.New(key)
	require.NoError(tb, err)
	return i
}

func requireRefused(t *testing.T, err error, reason refusal.Reason) {
	t.Helper()
	var refused *refusal.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, reason, refused.Reason)
}

func TestAnyRouterOfTheFleetOpensAToken(t *testing.T) {
	t.Parallel()
	text, err := issuer(t, "fleet").Issue(token())
	require.NoError(t, err)
	got, err := issuer(t, "fleet").Open(text, "halonen", now)
	require.NoError(t, err)
	require.True(t, proto.Equal(token(), got))
}

// A token that was stolen, guessed, altered or has expired must not let a caller
// read another account's stream.
func TestInvalidTokensAreRefused(t *testing.T) {
	t.Parallel()
	i := issuer(t, "fleet")
	text, err := i.Issue(token())
	require.NoError(t, err)
	_, err = i.Open(text, "kilimanjaro", now)
	requireRefused(t, err, refusal.BadResumeToken)
	_, err = issuer(t, "another fleet").Open(text, "halonen", now)
	requireRefused(t, err, refusal.BadResumeToken)
	_, err = i.Open(text, "halonen", now.Add(time.Minute))
	requireRefused(t, err, refusal.ResumeExpired)
	for at := range text {
		altered := []byte(text)
		altered[at] = "AB"[(1+at)%2]
		if altered[at] == text[at] {
			altered[at] = 'C'
		}
		_, err := i.Open(string(altered), "halonen", now)
		requireRefused(t, err, refusal.BadResumeToken)
	}
}

func FuzzOpen(f *testing.F) {
	i := issuer(f, "fleet")
	text, err := i.Issue(token())
	require.NoError(f, err)
	f.Add(text)
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, in string) {
		got, err := i.Open(in, "halonen", now)
		if in == text {
			require.NoError(t, err)
			return
		}
		require.Nil(t, got)
		requireRefused(t, err, refusal.BadResumeToken)
	})
}
