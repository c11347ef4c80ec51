// Package metric holds the counters and gauges of a router.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
)

// Set is every metric of one router.
type Set struct {
	// Requests counts answers by service and HTTP status class.
	Requests *prometheus.CounterVec
	// Refusals counts the router's own answers by reason.
	Refusals *prometheus.CounterVec
	// Retries counts further attempts by reason.
	Retries *prometheus.CounterVec
	// Service is the weighted tokens that an account received through this router.
	Service *prometheus.CounterVec
	// RefusedTokens is the weighted tokens of an account's requests that this router
	// refused, by account and reason. One that lacks service because the router has too
	// much to do is told from one that lacks engines.
	RefusedTokens *prometheus.CounterVec
	// InFlight is the number of requests at upstreams, by service.
	InFlight *prometheus.GaugeVec
	// Waiting is the number of requests that wait for a turn, by service.
	Waiting *prometheus.GaugeVec
	// QueueSeconds is the time from arrival to a slot, by service.
	QueueSeconds *prometheus.HistogramVec
	// FirstByteSeconds is the time from arrival to the first byte of the answer, by service.
	FirstByteSeconds *prometheus.HistogramVec
	// ControlBytes counts bytes that are neither a caller's request nor its
	// answer, by direction (sent, received) and other side (peer, platform, upstream).
	ControlBytes *prometheus.CounterVec
	// ControlMessages counts messages in the same way.
	ControlMessages *prometheus.CounterVec
	// Connections counts the connections that were opened to upstreams.
	Connections prometheus.Counter
	// Panics counts panics that were contained.
	Panics prometheus.Counter
	// NoteVersion is the release note version in force here.
	NoteVersion prometheus.Gauge
	// Routers is the number of routers believed alive, this one included.
	Routers prometheus.Gauge
}

// Directions and other sides of control traffic.
const (
	Sent     = "sent"
	Received = "received"

	Peer     = "peer"
	Platform = "platform"
	Upstream = "upstream"
)

// New returns a Set that is registered with registry. Every refusal and retry
// reason starts at zero, so that a rate over it works from the first scrape.
func New(registry prometheus.Registerer) *Set {
	s := &Set{
		Requests:         counter("requests_total", "Answers by service and status class.", "service", "status"),
		Refusals:         counter("refusals_total", "The router's own answers by reason.", "reason"),
		Retries:          counter("retries_total", "Further attempts by reason.", "reason"),
		Service:          counter("service_tokens_total", "Weighted tokens received, by account.", "account"),
		RefusedTokens:    counter("refused_tokens_total", "Weighted tokens refused, by account and reason.", "account", "reason"),
		InFlight:         gauges("in_flight", "Requests at upstreams, by service."),
		Waiting:          gauges("waiting", "Requests that wait for a turn, by service."),
		QueueSeconds:     seconds("queue_seconds", "Time from arrival to a slot."),
		FirstByteSeconds: seconds("first_byte_seconds", "Time from arrival to the first byte of the answer."),
		ControlBytes:     counter("control_bytes_total", "Bytes of control traffic, headers included.", "direction", "side"),
		ControlMessages:  counter("control_messages_total", "Messages of control traffic.", "direction", "side"),
		Connections:      count("upstream_connections_total", "Connections opened to upstreams."),
		Panics:           count("panics_total", "Panics contained."),
		NoteVersion:      gauge("note_version", "The release note version in force."),
		Routers:          gauge("routers", "Routers believed alive, this one included."),
	}
	registry.MustRegister(s.Requests, s.Refusals, s.Retries, s.Service, s.RefusedTokens, s.InFlight, s.Waiting,
		s.QueueSeconds, s.FirstByteSeconds, s.ControlBytes, s.ControlMessages, s.Connections, s.Panics, s.NoteVersion, s.Routers)
	s.touch()
	return s
}

func (s *Set) touch() {
	for _, reason := range refusal.Reasons() {
		s.Refusals.WithLabelValues(string(reason))
	}
	for _, reason := range retry.Reasons() {
		s.Retries.WithLabelValues(string(reason))
	}
}

// ServiceByAccount returns the weighted tokens that each account received so far.
func (s *Set) ServiceByAccount() map[string]float64 {
	served := make(map[string]float64)
	found := make(chan prometheus.Metric)
	go func() {
		s.Service.Collect(found)
		close(found)
	}()
	for each := range found {
		var figure dto.Metric
		if each.Write(&figure) == nil && len(figure.GetLabel()) == 1 {
			served[figure.GetLabel()[0].GetValue()] = figure.GetCounter().GetValue()
		}
	}
	return served
}

// Control counts one control message of size bytes.
func (s *Set) Control(direction, side string, size int) {
	s.ControlBytes.WithLabelValues(direction, side).Add(float64(size))
	s.ControlMessages.WithLabelValues(direction, side).Inc()
}

const namespace = "nutmeglock"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func count(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{"service"})
}

func seconds(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
	}, []string{"service"})
}
