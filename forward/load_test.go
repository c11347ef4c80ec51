package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/pace"
)

// Guards against a slowdown that only some answers bring: refusals have the figure, too, and often earlier.
func TestSlowdownIsTakenFromEachAnswer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path   string
		answer http.HandlerFunc
		want   []pace.Slowdown
	}{
		"plain answer":   {"/read/1", stating("X-Slowdown", "250", answersOK), []pace.Slowdown{2.5}},
		"stream":         {"/stream/1", stating("X-Slowdown", "250", answersOK), []pace.Slowdown{2.5}},
		"error":          {"/order/1", stating("X-Slowdown", "250", answersError), []pace.Slowdown{2.5}},
		"refusal":        {"/order/1", stating("X-Slowdown", "250", answersNotRun), []pace.Slowdown{2.5}},
		"nothing stated": {"/read/1", answersOK, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, c.answer)
			_, _, _, _ = f.post(t, c.path)
			require.Equal(t, c.want, f.state.pool.Slowdowns(time.Now()))
		})
	}
}
