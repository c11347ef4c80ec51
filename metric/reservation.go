package metric

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"nutmeglock.example/nutmeglock/reservation"
	"nutmeglock.example/nutmeglock/turn"
)

// ReservationHooks returns the hooks by which pools count refusals and returns.
func (s *Set) ReservationHooks() turn.ReservationHooks {
	return turn.ReservationHooks{
		OnRefused: func(reserved bool) { s.TurnReservations.WithLabelValues(strconv.FormatBool(reserved)).Inc() },
		OnReturn:  func(claim reservation.Claim) { s.TurnReturns.WithLabelValues(string(claim)).Inc() },
		OnDueEnded: func(began bool) {
			s.DueReturns.WithLabelValues(strconv.FormatBool(began)).Inc()
		},
		OnBegun: func(predicted, waited time.Duration) { s.WaitErrorSeconds.Observe((predicted - waited).Seconds()) },
	}
}

func (s *Set) initReservations() {
	for _, yes := range []bool{false, true} {
		s.TurnReservations.WithLabelValues(strconv.FormatBool(yes))
		s.DueReturns.WithLabelValues(strconv.FormatBool(yes))
	}
	for _, claim := range reservation.Returns() {
		s.TurnReturns.WithLabelValues(string(claim))
	}
}

// newWaitErrorHistogram returns a histogram whose buckets separate waits that were longer than
// predicted, below zero, from shorter ones. Requests wait for tenths of a second.
func newWaitErrorHistogram() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "wait_error_seconds", Help: "Predicted less real wait of requests that began after a wait.",
		Buckets: []float64{-0.4, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.4},
	})
}
