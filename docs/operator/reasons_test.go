package operator_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
)

// Operators look up a reason by its name in a response or in a counter's label.
func TestEachReasonIsOnItsPage(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("refusals.md")
	require.NoError(t, err)
	for _, reason := range refusal.Reasons() {
		require.Contains(t, string(page), "\n| `"+string(reason)+"` | "+statusText(reason)+" |")
	}
	for _, reason := range retry.Reasons() {
		require.Contains(t, string(page), "\n| `"+string(reason)+"` |")
	}
}

func TestEachMetricIsOnItsPage(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("metrics.md")
	require.NoError(t, err)
	registry := prometheus.NewRegistry()
	set := metric.New(registry)
	set.Requests.WithLabelValues("s", "2xx")
	set.ServiceTokens.WithLabelValues("a")
	set.RefusedTokens.WithLabelValues("a", "r")
	set.InFlight.WithLabelValues("s")
	set.Waiting.WithLabelValues("s")
	set.QueueSeconds.WithLabelValues("s")
	set.FirstByteSeconds.WithLabelValues("s")
	set.CountControlMessage(metric.Sent, metric.Peer, 1)
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		name := strings.TrimPrefix(family.GetName(), "nutmeglock_")
		require.Regexp(t, "\n\\| `"+name+"[`{]", string(page))
	}
}

func statusText(reason refusal.Reason) string { return strconv.Itoa(reason.Status()) }
