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

// Handler serves the metrics of gatherers as text, in the order of the gatherers. Within
// each of them families that have counted something come first, small ones before large ones, and the
// histograms last.
//
// A collector may keep only the beginning of a page. With families sorted by name the Go
// runtime's metrics would fill most of it, and the metrics of refusals would be missing.
func Handler(gatherers ...prometheus.Gatherer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var page bytes.Buffer
		for _, gatherer := range gatherers {
			families, err := gatherer.Gather()
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			slices.SortStableFunc(families, compareFamilies)
			for _, family := range families {
				if _, err := expfmt.MetricFamilyToText(&page, family); err != nil {
					http.Error(w, err.Error(), http.StatusInternalServerError)
					return
				}
			}
		}
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		_, _ = w.Write(page.Bytes()) // a collector that disconnected will scrape again
	})
}

// compareFamilies orders histograms last and families of zeros before them, and others by their number of lines.
func compareFamilies(a, b *dto.MetricFamily) int {
	return cmp.Or(
		cmp.Compare(histogramRank(a), histogramRank(b)), cmp.Compare(zeroRank(a), zeroRank(b)), cmp.Compare(lineCount(a), lineCount(b)),
	)
}

func zeroRank(family *dto.MetricFamily) int {
	for _, m := range family.GetMetric() {
		if m.GetCounter().GetValue() != 0 || m.GetGauge().GetValue() != 0 {
			return 0
		}
	}
	return 1
}

func histogramRank(family *dto.MetricFamily) int {
	if family.GetType() == dto.MetricType_HISTOGRAM {
		return 1
	}
	return 0
}

// lineCount returns about how many lines a family takes on the page.
func lineCount(family *dto.MetricFamily) int {
	n := 0
	for _, m := range family.GetMetric() {
		n += 1 + len(m.GetHistogram().GetBucket()) + len(m.GetSummary().GetQuantile())
	}
	return n
}
