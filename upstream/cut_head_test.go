package upstream_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/standin/unframed"
	"nutmeglock.example/nutmeglock/upstream"
)

// Guards against an answer whose upstream stopped in the middle of its head, and that passes for a whole one with a short body or
// none.
func TestAnswerThatEndsInItsHeadIsNone(t *testing.T) {
	t.Parallel()
	for _, end := range unframed.HeadEnds() {
		for _, upload := range []int{0, longBody} {
			t.Run(fmt.Sprintf("%s, %d bytes sent", end, upload), func(t *testing.T) {
				t.Parallel()
				heads := unframed.CutHeads(idField + ": 1\r\n")
				errs := unframed.PlayAnswers(t.Context(), heads, end, func(address string) error {
					_, err := exchangeUpload(t, address, upload)
					return err
				})
				for i, err := range errs {
					var failed *upstream.Error
					require.ErrorAs(t, err, &failed, "%q", heads[i])
					require.True(t, failed.Sent, "%q", heads[i])
				}
			})
		}
	}
}
