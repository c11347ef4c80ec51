// Package metric defines the Prometheus metrics of a router.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/retry"
	"nutmeglock.example/nutmeglock/turn"
)

// Set holds all metrics of one router.
type Set struct {
	// Requests counts answers by service and HTTP status class.
	Requests *prometheus.CounterVec
	// Refusals counts the router's own error answers by reason.
	Refusals *prometheus.CounterVec
	// Retries counts retries by reason.
	Retries *prometheus.CounterVec
	// ServiceTokens counts the weighted tokens that accounts received through this router, by
	// account.
	ServiceTokens *prometheus.CounterVec
	// RefusedTokens counts the weighted tokens of the requests that this router refused, by
	// account and reason. The reason distinguishes an overloaded router from a lack of
	// engines.
	RefusedTokens *prometheus.CounterVec
	// InFlight is the number of requests at upstreams, by service.
	InFlight *prometheus.GaugeVec
	// Waiting is the number of queued requests, by service.
	Waiting *prometheus.GaugeVec
	// QueueSeconds is the time from arrival to a slot, by service.
	QueueSeconds *prometheus.HistogramVec
	// FirstByteSeconds is the time from arrival to the first byte of the answer, by service.
	FirstByteSeconds *prometheus.HistogramVec
	// ControlBytes counts the bytes of control traffic, which is all but callers'
	// requests and answers, by direction (sent, received) and remote side (peer,
	// platform, upstream).
	ControlBytes *prometheus.CounterVec
	// ControlMessages counts the messages of control traffic, with the same labels.
	ControlMessages *prometheus.CounterVec
	// UpstreamConnections counts the connections opened to upstreams.
	UpstreamConnections prometheus.Counter
	// RefusedTurns counts requests that were refused their turn, by what they lacked.
	RefusedTurns *prometheus.CounterVec
	// TurnReservations counts requests that this router refused their turn as a home, by whether a
	// turn is kept for their return.
	TurnReservations *prometheus.CounterVec
	// TurnReturns counts requests that returned and had a reservation, by whether they were in time.
	TurnReturns *prometheus.CounterVec
	// DueReturns counts the returns in time by whether they began.
	DueReturns *prometheus.CounterVec
	// WaitErrorSeconds is the predicted wait less the real one of requests that began after a wait.
	WaitErrorSeconds prometheus.Histogram
	// ColdSkipped counts requests that couldn't go to the cold upstream that they prefer, by
	// reason.
	ColdSkipped *prometheus.CounterVec
	// AvoidedSends counts requests that weren't sent to an upstream, or not to the one that they prefer, because it
	// has stated that it wants none, by reason.
	AvoidedSends *prometheus.CounterVec
	// LeavingSeconds is the age of the changes by which upstreams drain or are gone when they take
	// effect, since the first router read them from the store.
	LeavingSeconds prometheus.Histogram
	// SentToLeavingSeconds is how long the fleet had known that an upstream is leaving when a request
	// was sent there.
	SentToLeavingSeconds prometheus.Histogram
	// PromptTokens counts the tokens of prompts that this router has started at engines whose
	// memory it knows, by where the engine is expected to take them from.
	PromptTokens *prometheus.CounterVec
	// CacheLosses counts how often an engine was found to have lost what it kept of prompts.
	CacheLosses prometheus.Counter
	// ResumedStreams counts streams that went on at an upstream, by who resumed them and by the
	// software version compared with that of the upstream that began them.
	ResumedStreams *prometheus.CounterVec
	// OriginRecords counts what happened to the records of the software versions that began streams, by origin.Event.
	OriginRecords *prometheus.CounterVec
	// Handovers counts the requests for which this router had no processor time and another router was
	// sought, by result, and AcceptedHandovers those that this router accepted from others.
	Handovers         *prometheus.CounterVec
	AcceptedHandovers prometheus.Counter
	// RejectedLoads counts statements of upstreams about their load of which a figure isn't used, by reason.
	RejectedLoads *prometheus.CounterVec
	// StatedSlowdown has the slowdowns that upstreams have stated; its count is the number of statements.
	StatedSlowdown prometheus.Histogram
	// Slowdowns is the number of upstreams by their estimated slowdown. It has only those that state it.
	Slowdowns *prometheus.GaugeVec
	// CallerBytes is the memory that is kept for callers, and CallerConnections the number of their connections by stage.
	CallerBytes       prometheus.Gauge
	CallerConnections *prometheus.GaugeVec
	// Evictions counts callers' connections that had to give way, by what was short and the stage.
	Evictions *prometheus.CounterVec
	// StoreRestores counts the restores of the store from a copy.
	StoreRestores prometheus.Counter
	// Panics counts recovered panics.
	Panics prometheus.Counter
	// NoteVersion is the release note version that this router uses.
	NoteVersion prometheus.Gauge
	// Routers is the number of routers considered alive, including this one.
	Routers prometheus.Gauge
}

// Directions and remote sides of control traffic.
const (
	Sent     = "sent"
	Received = "received"

	Peer     = "peer"
	Platform = "platform"
	Upstream = "upstream"
)

// New returns a Set that is registered with registry. The counters of all refusal and
// retry reasons start at zero, so that their rates work from the first scrape.
func New(registry prometheus.Registerer) *Set {
	s := &Set{
		Requests:             newCounterVec("requests_total", "Answers by service and status class.", "service", "status"),
		Refusals:             newCounterVec("refusals_total", "The router's own answers by reason.", "reason"),
		Retries:              newCounterVec("retries_total", "Further attempts by reason.", "reason"),
		ServiceTokens:        newCounterVec("service_tokens_total", "Weighted tokens received, by account.", "account"),
		RefusedTokens:        newCounterVec("refused_tokens_total", "Weighted tokens refused, by account and reason.", "account", "reason"),
		InFlight:             newGaugeVec("in_flight", "Requests at upstreams, by service."),
		Waiting:              newGaugeVec("waiting", "Requests that wait for a turn, by service."),
		QueueSeconds:         newSecondsHistogram("queue_seconds", "Time from arrival to a slot."),
		FirstByteSeconds:     newSecondsHistogram("first_byte_seconds", "Time from arrival to the first byte of the answer."),
		ControlBytes:         newCounterVec("control_bytes_total", "Bytes of control traffic, headers included.", "direction", "side"),
		ControlMessages:      newCounterVec("control_messages_total", "Messages of control traffic.", "direction", "side"),
		UpstreamConnections:  newCounter("upstream_connections_total", "Connections opened to upstreams."),
		RefusedTurns:         newCounterVec("refused_turns_total", "Requests refused their turn, by what they lacked.", "lack"),
		TurnReservations:     newCounterVec("turn_reservations_total", "Requests refused their turn here, by whether one is kept for their return.", "kept"),
		TurnReturns:          newCounterVec("turn_returns_total", "Requests that returned and had a reservation, by their time.", "claim"),
		DueReturns:           newCounterVec("due_returns_total", "Requests that returned in time, by whether they began.", "began"),
		WaitErrorSeconds:     newWaitErrorHistogram(),
		ColdSkipped:          newCounterVec("cold_skipped_total", "Requests kept from the cold upstream that they prefer.", "reason"),
		AvoidedSends:         newCounterVec("avoided_sends_total", "Requests kept from an upstream that wants none, by reason.", "reason"),
		LeavingSeconds:       newLeavingHistogram("upstream_leaving_seconds", "Age of the changes by which upstreams leave when they take effect."),
		SentToLeavingSeconds: newLeavingHistogram("sent_to_leaving_upstream_seconds", "Age of the changes by which upstreams leave when requests are sent to them."),
		PromptTokens:         newCounterVec("prompt_tokens_total", "Tokens of prompts, by where engines are expected to take them from.", "from"),
		CacheLosses:          newCounter("cache_losses_total", "Engines found to have lost what they kept of prompts."),
		ResumedStreams:       newCounterVec("resumed_streams_total", "Streams that went on at an upstream, by who resumed them and its software version.", "by", "software"),
		OriginRecords:        newCounterVec("origin_records_total", "Records of the software versions that began streams, by what happened to them.", "event"),
		Handovers:            newCounterVec("handovers_total", "Requests that were to be handed over to another router, by result.", "result"),
		AcceptedHandovers:    newCounter("accepted_handovers_total", "Requests accepted from other routers."),
		RejectedLoads:        newCounterVec("rejected_loads_total", "Statements of upstreams about their load that aren't used in full, by reason.", "reason"),
		StatedSlowdown:       newSlowdownHistogram("stated_slowdown", "Slowdowns that upstreams have stated."),
		Slowdowns:            newSlowdowns(),
		CallerBytes:          newGauge("caller_bytes", "Memory that is kept for callers."),
		CallerConnections:    newStageGauge("caller_connections", "Connections of callers by stage."),
		Evictions:            newCounterVec("caller_evictions_total", "Connections of callers that were closed or refused for others, by what was short.", "resource", "stage"),
		StoreRestores:        newCounter("store_restores_total", "Restores of the store from a copy that the router has learnt of."),
		Panics:               newCounter("panics_total", "Panics contained."),
		NoteVersion:          newGauge("note_version", "The release note version in force."),
		Routers:              newGauge("routers", "Routers believed alive, this one included."),
	}
	registry.MustRegister(s.Requests, s.Refusals, s.Retries, s.ServiceTokens, s.RefusedTokens, s.InFlight, s.Waiting,
		s.QueueSeconds, s.FirstByteSeconds, s.ControlBytes, s.ControlMessages, s.UpstreamConnections, s.RefusedTurns, s.ColdSkipped, s.AvoidedSends, s.LeavingSeconds, s.SentToLeavingSeconds, s.ResumedStreams, s.OriginRecords, s.Panics, s.NoteVersion, s.Routers)
	registry.MustRegister(s.Handovers, s.AcceptedHandovers, s.RejectedLoads, s.StatedSlowdown, s.Slowdowns, s.PromptTokens, s.CacheLosses,
		s.CallerBytes, s.CallerConnections, s.Evictions, s.StoreRestores, s.TurnReservations, s.TurnReturns, s.DueReturns, s.WaitErrorSeconds)
	s.initReasons()
	return s
}

func (s *Set) initReasons() {
	for _, reason := range refusal.Reasons() {
		s.Refusals.WithLabelValues(string(reason))
	}
	for _, reason := range retry.Reasons() {
		s.Retries.WithLabelValues(string(reason))
	}
	for _, lack := range turn.Lacks() {
		s.RefusedTurns.WithLabelValues(string(lack))
	}
	for _, resource := range budget.Resources() {
		for _, stage := range budget.Stages() {
			s.Evictions.WithLabelValues(string(resource), stage.String())
		}
	}
	s.initReservations()
	for _, reason := range turn.ColdReasons() {
		s.ColdSkipped.WithLabelValues(string(reason))
	}
	for _, reason := range avoidance.Reasons() {
		s.AvoidedSends.WithLabelValues(string(reason))
	}
	for _, result := range handover.Results() {
		s.Handovers.WithLabelValues(string(result))
	}
	for _, reason := range pace.Rejections() {
		s.RejectedLoads.WithLabelValues(string(reason))
	}
	s.CountCacheUse(turn.CacheUse{})
	for _, event := range origin.Events() {
		s.OriginRecords.WithLabelValues(string(event))
	}
	for _, by := range origin.Resumers() {
		for _, match := range origin.Matches() {
			s.ResumedStreams.WithLabelValues(string(by), string(match))
		}
	}
}

// Where engines take the tokens of prompts from: their own cache, that of another engine, or the
// prompt, which they read.
const (
	fromCache = "cache"
	fromCopy  = "copy"
	fromRead  = "read"
)

// CountCacheUse counts the tokens of a prompt.
func (s *Set) CountCacheUse(use turn.CacheUse) {
	s.PromptTokens.WithLabelValues(fromCache).Add(float64(max(use.Cached, 0)))
	s.PromptTokens.WithLabelValues(fromCopy).Add(float64(max(use.Copied, 0)))
	s.PromptTokens.WithLabelValues(fromRead).Add(float64(max(use.Read, 0)))
}

// ServiceTokensByAccount returns the weighted tokens that each account has received so far.
func (s *Set) ServiceTokensByAccount() map[string]float64 {
	tokens := make(map[string]float64)
	metrics := make(chan prometheus.Metric)
	go func() {
		s.ServiceTokens.Collect(metrics)
		close(metrics)
	}()
	for m := range metrics {
		var decoded dto.Metric
		if m.Write(&decoded) == nil && len(decoded.GetLabel()) == 1 {
			tokens[decoded.GetLabel()[0].GetValue()] = decoded.GetCounter().GetValue()
		}
	}
	return tokens
}

// CountControlMessage counts one control message of size bytes.
func (s *Set) CountControlMessage(direction, side string, size int) {
	s.ControlBytes.WithLabelValues(direction, side).Add(float64(size))
	s.ControlMessages.WithLabelValues(direction, side).Inc()
}

const namespace = "nutmeglock"

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newStageGauge(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{"stage"})
}

func newGaugeVec(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{"service"})
}

// newLeavingHistogram returns a histogram whose buckets separate the bounds of deployments, 2 s to 5 s.
func newLeavingHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: []float64{0.05, 0.2, 0.5, 1, 2, 3, 5, 10, 60},
	})
}

func newSecondsHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
	}, []string{"service"})
}
