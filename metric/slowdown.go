package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"nutmeglock.example/nutmeglock/pace"
)

// slowdownBounds divide slowdowns. An upstream is slow from 1.25 on.
var slowdownBounds = []float64{0.8, 1.25, 2, 3, 5, 10, 20}

// slowdownRange is a label and the slowdowns below which an upstream belongs there.
type slowdownRange struct {
	label string
	below pace.Slowdown
}

var slowdownRanges = []slowdownRange{{"fast", 0.8}, {"usual", 1.25}, {"slow", 3}, {"very-slow", pace.Max + 1}}

func newSlowdownHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: slowdownBounds})
}

func newSlowdowns() *prometheus.GaugeVec {
	opts := prometheus.GaugeOpts{Namespace: namespace, Name: "upstreams_by_slowdown", Help: "Upstreams that state their slowdown."}
	return prometheus.NewGaugeVec(opts, []string{"service", "slowdown"})
}

// SetSlowdowns sets how many upstreams of a service have which estimated slowdown. A service whose upstreams don't
// state theirs has no line.
func (s *Set) SetSlowdowns(service string, slowdowns []pace.Slowdown) {
	if len(slowdowns) == 0 {
		s.Slowdowns.DeletePartialMatch(prometheus.Labels{"service": service})
		return
	}
	counts := make([]int, len(slowdownRanges))
	for _, slowdown := range slowdowns {
		i := 0
		for i < len(slowdownRanges)-1 && slowdown >= slowdownRanges[i].below {
			i++
		}
		counts[i]++
	}
	for i, r := range slowdownRanges {
		s.Slowdowns.WithLabelValues(service, r.label).Set(float64(counts[i]))
	}
}
