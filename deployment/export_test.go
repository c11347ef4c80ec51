package deployment

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/handover/relay"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

// Unexported functions that the tests in package deployment_test use.
var (
	EncodeConfiguration = encodeConfiguration
	DecodeConfiguration = decodeConfiguration
	Deflate             = deflate
	Inflate             = inflate
	NewYieldingListener = newYieldingListener
	NewMesh             = newMesh
)

// Mesh exports mesh.
type Mesh = mesh

// Peers returns the connections to the other routers.
func (m *mesh) Peers() *peer.Peers { return m.peers }

// Receive handles a batch of messages from another router.
func (m *mesh) Receive(from fleet.RouterID, batch *schema.Batch) { m.receive(from, batch) }

// AnnounceUpdate announces an update that has taken effect at this router.
func (m *mesh) AnnounceUpdate(source string) { m.announceUpdate(source) }

// Quarantine returns the detector of requests that crash upstreams.
func (m *mesh) Quarantine() forward.Quarantine { return &m.crashMonitor }

// Origins returns what the router knows of the origins of streams.
func (m *mesh) Origins() *originKeeper { return &m.origins }

// MixedServices exports mixedServices.
type MixedServices = mixedServices

// NewMixedServices returns a MixedServices of a router that is connected with others.
func NewMixedServices(store MixedServiceStore, self fleet.RouterID, others []fleet.RouterID, log *slog.Logger) *MixedServices {
	m := &mixedServices{self: self, history: &origin.History{}, otherRouters: func() []fleet.RouterID { return others }, log: log}
	m.setUp(store)
	return m
}

// Set records whether a service has several versions.
func (m *mixedServices) Set(service fleet.ServiceID, mixed bool) { m.set(service, mixed) }

// EnsureLoaded loads the stored services.
func (m *mixedServices) EnsureLoaded(ctx context.Context) bool { return m.ensureLoaded(ctx) }

// SetMixedServiceStore sets where the services with several versions are stored.
func (m *mesh) SetMixedServiceStore(store MixedServiceStore) { m.origins.mixedServices.setUp(store) }

// SetUpstreamFeed sets where the list of upstreams is confirmed.
func (m *mesh) SetUpstreamFeed(feed follow.Feed[registry.Change, registry.Revision]) {
	m.origins.listCheck.feed = feed
}

// Run stores changes until ctx ends.
func (m *mixedServices) Run(ctx context.Context) error { return m.run(ctx) }

// RecordCount returns the number of records that a router holds.
func (k *originKeeper) RecordCount() int { return k.records.Len() }

// ConfirmUpstreams records that the list of upstreams was current at a time.
func (s *State) ConfirmUpstreams(at time.Time) { s.confirmUpstreams(at) }

// RestoreMixedServices records which services had several software versions before the start.
func (s *State) RestoreMixedServices(services []fleet.ServiceID) {
	s.history.Restore(time.Now(), services)
}

// AnswerKnowledgeRequest answers another router's request for newer versions.
func (m *mesh) AnswerKnowledgeRequest(request string) (any, error) {
	return m.answerKnowledgeRequest(context.Background(), json.RawMessage(request))
}

// RestoreQuarantine loads stored entries about parts of prompts.
func (m *mesh) RestoreQuarantine(causes []diagnosis.Entry) {
	m.crashMonitor.restore(time.Now(), nil, causes)
}

// SetKnownRouters sets which other routers the fleet has, connected or not.
func (m *mesh) SetKnownRouters(routers []fleet.RouterID) {
	m.crashMonitor.trials.knownRouters = func() []fleet.RouterID { return routers }
}

// OnBatch also passes the batches of other routers to fn.
func (m *mesh) OnBatch(fn func(batch *schema.Batch)) {
	m.peers.OnBatch(func(from fleet.RouterID, batch *schema.Batch) {
		fn(batch)
		m.receive(from, batch)
	})
}

// RoundTripCrash encodes and decodes a report.
func RoundTripCrash(now time.Time, c diagnosis.Crash) diagnosis.Crash {
	return decodeUpstreamCrash(now, c.Reporter, encodeUpstreamCrash(now, c))
}

// RoundTripVerdict encodes and decodes a verdict.
func RoundTripVerdict(now time.Time, v diagnosis.Verdict) diagnosis.Verdict {
	return decodeCauseVerdict(now, encodeCauseVerdict(now, v))
}

// SetProcess makes the check of which process has an upstream's address return an error or nil.
func (m *mesh) SetProcess(err error) {
	m.crashMonitor.checkProcess = func(context.Context, string, registry.StartTime) error { return err }
}

// IsReadRequested reports whether a whole read of the list of upstreams is requested from the store.
func (m *mesh) IsReadRequested() bool { return m.lists.readRequested.Load() }

// Handovers exports handovers.
type Handovers = handovers

// NewHandovers returns the handovers of a router of a data centre. Its link to others is send.
func NewHandovers(self fleet.RouterID, stopping *atomic.Bool, maxRelays int, metrics *metric.Set, log *slog.Logger, send func(to fleet.RouterID, batch *schema.Batch)) (*Handovers, error) {
	never := func() bool { return false }
	return newHandovers(handoverOptions{
		self: self, dataCenter: "d", send: send, isActive: func() bool { return true }, isExhausted: never, isBusy: never,
		isStopping: stopping.Load, maxRelays: maxRelays, dialer: relay.Dialer{Timeout: 5 * time.Second}, metrics: metrics, log: log, requestLog: log,
	})
}

// SetActive sets whether the fleet is large.
func (h *handovers) SetActive(active bool) { h.options.isActive = func() bool { return active } }

// SetAddress sets the address for relays.
func (h *handovers) SetAddress(address string) { h.address = address }

// Observe adds a sample.
func (h *handovers) Observe(now time.Time, wait time.Duration) { h.observe(now, wait) }

// Receive handles a batch of messages.
func (h *handovers) Receive(from fleet.RouterID, batch *schema.Batch) { h.receive(from, batch) }

// HandleConnectionChange handles a connection that was opened or lost.
func (h *handovers) HandleConnectionChange(c peer.Change) { h.handleConnectionChange(c) }

// TakenConnections returns the number of connections taken from the server.
func (h *handovers) TakenConnections() int64 { return h.takenConnections() }
