package operator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/standin/unframed"
)

// Guards against an answer of a router that stops in the middle of its head, and passes for an empty one.
func TestAnswerThatEndsInItsHeadIsNone(t *testing.T) {
	t.Parallel()
	for _, end := range unframed.HeadEnds() {
		t.Run(string(end), func(t *testing.T) {
			t.Parallel()
			heads := unframed.CutHeads("Content-Type: application/json\r\n")
			errs := unframed.PlayAnswers(t.Context(), heads, end, func(address string) error {
				_, err := operator.NewClient("key", "http://"+address).State(t.Context())
				return err
			})
			for i, err := range errs {
				require.Error(t, err, "%q", heads[i])
			}
		})
	}
}
