package metric

import (
	"bytes"
	"cmp"
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// Handler serves the metrics of gatherers as text, those of the first one first, and of
// each its smallest families first and its histograms last.
//
// Collectors may keep only the beginning of a page, of which the Go runtime's own
// figures, sorted by name, would fill the most: an operator would find nothing there of
// what a router refused.
func Handler(gatherers ...prometheus.Gatherer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var page bytes.Buffer
		for _, gatherer := range gatherers {
			families, err := gatherer.Gather()
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			slices.SortStableFunc(families, byUse)
			for _, family := range families {
				if _, err := expfmt.MetricFamilyToText(&page, family); err != nil {
					http.Error(w, err.Error(), http.StatusInternalServerError)
					return
				}
			}
		}
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		_, _ = w.Write(page.Bytes()) // a collector that has left asks again
	})
}

// byUse orders families by what they tell in a few lines.
func byUse(a, b *dto.MetricFamily) int {
	return cmp.Or(cmp.Compare(histograms(a), histograms(b)), cmp.Compare(lines(a), lines(b)))
}

func histograms(family *dto.MetricFamily) int {
	if family.GetType() == dto.MetricType_HISTOGRAM {
		return 1
	}
	return 0
}

// lines returns how many lines a family takes.
func lines(family *dto.MetricFamily) int {
	n := 0
	for _, m := range family.GetMetric() {
		n += 1 + len(m.GetHistogram().GetBucket()) + len(m.GetSummary().GetQuantile())
	}
	return n
}
