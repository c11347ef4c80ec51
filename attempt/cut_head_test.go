package attempt_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/standin/unframed"
)

// Guards against an answer whose upstream stopped in the middle of its head, and that passes for a whole one with a short body or
// none.
func TestAnswerThatEndsInItsHeadIsNone(t *testing.T) {
	t.Parallel()
	heads := unframed.CutHeads("X-Line: 1\r\n")
	// One after the other: long uploads on many connections delay the connections of tests beside them.
	for _, end := range unframed.HeadEnds() {
		for _, upload := range []int{0, longBody} {
			errs := unframed.PlayAnswers(t.Context(), heads, end, func(address string) error {
				_, err := exchangeUpload(t, address, upload)
				return err
			})
			for i, err := range errs {
				var failed *attempt.Error
				require.ErrorAs(t, err, &failed, "%q, %s, %d bytes sent", heads[i], end, upload)
				require.True(t, failed.Facts.Connected, "%q, %s, %d bytes sent: %v", heads[i], end, upload, err)
			}
		}
	}
}
