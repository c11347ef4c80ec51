package attempt_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/standin/unframed"
)

const (
	unframedAnswer = "HTTP/1.1 200 OK\r\n\r\nsome"
	longBody       = 1 << 20
)

// exchangeLong exchanges a long request and returns the body of the answer.
func exchangeLong(t *testing.T, address string) (string, error) {
	t.Helper()
	return exchangeUpload(t, address, longBody)
}

// exchangeUpload exchanges a request with a body of so many bytes and returns the body of the answer.
func exchangeUpload(t *testing.T, address string, upload int) (string, error) {
	t.Helper()
	client := &attempt.Client{}
	defer client.Close()
	answer, err := client.Do(t.Context(), address, request(http.MethodPost, strings.Repeat("u", upload), true))
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against a part of an answer that passes for a whole one because its connection ended while the request was still
// being sent.
func TestAnswerThatEndsBeforeItsRequestWasTaken(t *testing.T) {
	t.Parallel()
	for _, end := range unframed.CutOffs() {
		t.Run(string(end), func(t *testing.T) {
			t.Parallel()
			address, err := unframed.Start(t.Context(), unframedAnswer, end)
			require.NoError(t, err)
			errs := unframed.Play(64, func() error {
				_, err := exchangeLong(t, address)
				return err
			})
			require.NotContains(t, errs, nil, "a part of an answer passed for a whole one")
			for _, err := range errs {
				var failed *attempt.Error
				require.ErrorAs(t, err, &failed)
				require.True(t, failed.Facts.Connected)
			}
		})
	}
}

// Guards against losing an answer that is whole: its upstream ends it early and takes the rest of the request then.
func TestEarlyAnswerWithoutLengthIsWholeOnceItsRequestWasTaken(t *testing.T) {
	t.Parallel()
	for _, end := range []unframed.End{unframed.TakeAll, unframed.TakeSlowly} {
		t.Run(string(end), func(t *testing.T) {
			t.Parallel()
			address, err := unframed.Start(t.Context(), unframedAnswer, end)
			require.NoError(t, err)
			got, err := exchangeLong(t, address)
			require.NoError(t, err)
			require.Equal(t, "some", got)
		})
	}
}
