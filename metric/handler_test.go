package metric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/metric"
)

// collectorPageLimit is how much of a metrics page the users' collector keeps, in bytes.
const collectorPageLimit = 4000

// Guards against metrics of refusals that a collector doesn't record: it keeps 4,000 bytes
// of each page, and the Go runtime's metrics, which come first by name, filled them.
func TestOwnMetricsComeFirst(t *testing.T) {
	t.Parallel()
	own, process := prometheus.NewRegistry(), prometheus.NewRegistry()
	process.MustRegister(collectors.NewGoCollector())
	set := metric.New(own)
	set.Refusals.WithLabelValues("router-overloaded").Add(17)
	set.RefusedTokens.WithLabelValues("ada", "router-overloaded").Add(1234)
	set.ServiceTokens.WithLabelValues("ada").Add(99)
	set.Panics.Add(3)
	set.QueueSeconds.WithLabelValues("engines").Observe(0.1)
	recorder := httptest.NewRecorder()
	metric.Handler(own, process).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := recorder.Body.String()
	kept := page[:collectorPageLimit]
	for _, line := range []string{
		`nutmeglock_note_version 0`, `nutmeglock_panics_total 3`, `nutmeglock_refusals_total{reason="router-overloaded"} 17`,
		`nutmeglock_refused_tokens_total{account="ada",reason="router-overloaded"} 1234`, `nutmeglock_service_tokens_total{account="ada"} 99`,
	} {
		require.Contains(t, kept, line+"\n")
	}
	require.Less(t, strings.LastIndex(page, "nutmeglock_"), strings.Index(page, "# HELP go_"))
	require.Contains(t, page, "go_goroutines")
}
