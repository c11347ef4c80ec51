package metric_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/pace"
)

// Guards against an upstream that is counted in no range or in two, and against figures of a service that outlast it.
func TestUpstreamsAreCountedBySlowdown(t *testing.T) {
	t.Parallel()
	set := metric.New(prometheus.NewRegistry())
	set.SetSlowdowns("s", []pace.Slowdown{pace.Min, 0.8, 1, 1.25, 2.5, 3, pace.Max})
	for label, want := range map[string]float64{"fast": 1, "usual": 2, "slow": 2, "very-slow": 2} {
		require.InDelta(t, want, testutil.ToFloat64(set.Slowdowns.WithLabelValues("s", label)), 0, label)
	}
	set.SetSlowdowns("s", nil)
	require.Zero(t, testutil.CollectAndCount(set.Slowdowns))
}
