package deployment

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

const (
	// followerPullDelay is how long a router that follows the store waits for an announced
	// update to arrive from there before it pulls it from another router. The store normally
	// delivers within a few milliseconds, so no pull is needed.
	followerPullDelay = 150 * time.Millisecond
	// maxNonFollowerPullDelay bounds the same delay for a router that doesn't follow the store.
	maxNonFollowerPullDelay = 30 * time.Millisecond
	// gossipInterval is how often a router of a large fleet announces its versions, and
	// gossipFanout the number of routers that it announces them to.
	gossipInterval = time.Second
	gossipFanout   = 3
	// reportInterval is the minimum time between two reports of this router's load on the
	// upstreams. An engine reads a prompt in about 50 to 300 ms; with older reports, routers
	// would send requests to an engine that others have just filled.
	reportInterval = 50 * time.Millisecond
	// maxQueueWait caps the wait that a non-empty accept queue counts as.
	maxQueueWait = 40 * time.Millisecond
	// reportRefreshInterval is how often an unchanged report is repeated. It is well below
	// the time after which the receivers discard a report.
	reportRefreshInterval = 500 * time.Millisecond
)

// mesh synchronises a router's state with the other routers, so that an update reaches
// all of them even if the store serves only some.
type mesh struct {
	state       *State
	peers       *peer.Peers
	coordinator *home.Coordinator
	// group determines whether this router follows the store on behalf of others.
	group *follow.Group
	// overload detects a shortage of processor time by how long goroutines wait to run.
	overload   overload.Detector
	scheduling overload.SchedulingLatency
	// latency is the latest measured scheduling latency in nanoseconds.
	latency atomic.Int64
	shedder overload.Shedder[fleet.AccountID]
	// link detects a full link by the delay of homes' answers.
	link *overload.Detector
	// acceptQueue measures the queue of connections that wait to be accepted.
	acceptQueue overload.StandingQueue
	// requestsInFlight returns the number of callers' requests in flight; nil if unknown.
	requestsInFlight func() int
	// crashMonitor finds requests that crash upstreams, and quarantinePersister stores its
	// verdicts.
	crashMonitor        crashMonitor
	quarantinePersister quarantinePersister
	// origins knows which software versions began the streams.
	origins originKeeper
	// handovers hands over requests to other routers and accepts theirs; nil if that is off.
	handovers *handovers
	// encodingCache holds the configuration encoded for other routers.
	encodingCache encodingCache
	log           *slog.Logger

	// configurationPuller, upstreamPuller and evacuationPuller fetch newer versions from other routers.
	configurationPuller puller
	upstreamPuller      puller
	evacuationPuller    puller
	// latestPuller fetches changes of the list of upstreams that lie beyond one which another router defers.
	latestPuller puller
	lists        listChecker
	// isFetchingRewritten is set while a configuration that was written again is fetched.
	isFetchingRewritten atomic.Bool
	guard               *recovery.Guard

	mu             sync.Mutex
	lastReportTime time.Time
	lastReport     []byte
	// followersLostStore is set while none of the routers that this one relies on can read the
	// store.
	followersLostStore bool
}

// newMesh returns a mesh. checkReachable returns an error if an upstream can't be reached.
func newMesh(state *State, options peer.Options, checkReachable func(ctx context.Context, address string) error) *mesh {
	m := &mesh{state: state, peers: peer.New(options), link: overload.NewLinkDetector(), log: options.Logger, guard: options.Guard}
	m.coordinator = &home.Coordinator{Self: options.Self, Send: m.peers.Send, Pool: state.Pool, Log: options.Logger, Guard: options.Guard}
	m.group = &follow.Group{Self: options.Self, IsSilent: m.peers.IsSilent}
	m.crashMonitor = crashMonitor{
		self: options.Self, otherRouters: m.peers.Routers, send: m.peers.Send, upstreamEntry: state.Upstream, listedUpstreams: state.countUpstreams, checkReachable: checkReachable,
		saveVerdict: m.quarantinePersister.enqueue, saveCause: m.quarantinePersister.enqueueCause, log: options.Logger, guard: options.Guard,
	}
	m.crashMonitor.checkProcess = func(ctx context.Context, address string, _ registry.StartTime) error {
		return checkReachable(ctx, address)
	}
	m.crashMonitor.parts.crashMonitor = &m.crashMonitor
	m.crashMonitor.parts.timer = timer.System{}
	m.crashMonitor.trials = trialGranter{
		self: options.Self, otherRouters: m.peers.Routers, knownRouters: m.peers.Routers, call: m.peers.Call,
	}
	m.origins = originKeeper{state: state, send: m.peers.Send, call: m.peers.Call, metrics: options.Metrics, log: options.Logger, guard: options.Guard}
	m.origins.records.DataCenter = options.DataCenter
	m.origins.mixedServices = mixedServices{self: options.Self, history: &state.history, otherRouters: m.peers.Routers, log: options.Logger}
	m.origins.listCheck.state, m.origins.listCheck.log = state, options.Logger
	m.configurationPuller = puller{
		name: "configuration", heldVersion: m.configurationVersion, fetch: m.fetchConfiguration, timer: timer.System{}, log: options.Logger,
		guard: options.Guard,
	}
	m.upstreamPuller = puller{
		name: "upstreams", heldVersion: m.upstreamRevision, fetch: m.fetchUpstreams, timer: timer.System{}, log: options.Logger,
		guard: options.Guard,
	}
	m.latestPuller = puller{
		name: "latest upstreams", heldVersion: m.latestUpstreamRevision, fetch: m.fetchUpstreams, timer: timer.System{}, log: options.Logger,
		guard: options.Guard,
	}
	m.evacuationPuller = puller{
		name: "evacuations", heldVersion: m.evacuationRevision, fetch: m.fetchEvacuations, timer: timer.System{}, log: options.Logger,
		guard: options.Guard,
	}
	state.coordinator = m.coordinator
	m.peers.Handle(knowledgeMethod, m.answerKnowledgeRequest)
	m.peers.Handle(originMethod, m.origins.answer)
	m.peers.Handle(trialMethod, m.crashMonitor.trials.answer)
	m.peers.OnBatch(m.receive)
	m.peers.OnChange(m.handleConnectionChange)
	return m
}

// announcement returns the versions that this router holds and its relation to the store.
func (m *mesh) announcement() *schema.Announcement {
	own, position := m.group.OwnStatus(), m.state.upstreamPosition()
	out := &schema.Announcement{
		ConfigurationVersion: m.configurationVersion(), UpstreamRevision: position.Version.Number(), UpstreamKnown: position.Known.Number(),
		UpstreamBase: position.Base.Number(), UpstreamLatest: numberIn(position.Known.Era(), position.Latest), UpstreamDigest: uint64(position.Digest),
		UpstreamEra: proto.Uint32(uint32(position.Known.Era())), Follows: own.Follows, StoreLost: own.StoreLost,
	}
	evacuations := m.state.EvacuationRevision()
	out.EvacuationRevision, out.EvacuationEra = evacuations.Number(), uint32(evacuations.Era())
	m.state.announceRewritten(out)
	if age, confirmed := m.state.listAge(time.Now()); confirmed {
		out.UpstreamAgeMs = proto.Uint32(schema.Millis(age))
	}
	return out
}

// announce sends the announcement to all routers.
func (m *mesh) announce() { m.announceTo(m.peers.Routers()) }

func (m *mesh) announceTo(routers []fleet.RouterID) {
	batch := &schema.Batch{Announcement: m.announcement()}
	for _, router := range routers {
		m.peers.Send(router, batch)
	}
}

// announceUpdate announces an update that has taken effect here. A router that doesn't follow
// the store doesn't announce updates from other routers, which have announced them to all.
func (m *mesh) announceUpdate(source string) {
	m.origins.updateMixed()
	if source == storeSource || m.group.PollInterval() == 0 {
		m.announce()
	}
}

// setStoreLost records and announces whether this router can't read the store.
func (m *mesh) setStoreLost(lost bool) {
	m.group.SetStoreLost(lost)
	m.announce()
}

// gossip announces this router's versions to a few random routers. It reaches routers that
// aren't connected to any follower of the store, and replaces announcements lost with a
// connection.
func (m *mesh) gossip() {
	routers := m.peers.Routers()
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	m.announceTo(routers[:min(len(routers), gossipFanout)])
	m.updateFollowersLostStore()
}

// updateFollowersLostStore records whether any router that follows the store can read it. While
// none can, entries that vanish may return.
func (m *mesh) updateFollowersLostStore() {
	lost := m.group.FollowersLostStore()
	m.mu.Lock()
	changed := m.followersLostStore != lost
	m.followersLostStore = lost
	m.mu.Unlock()
	switch {
	case !changed:
	case lost:
		m.log.Warn("dependency lost", "dependency", "store", "table", "all", "error", "the routers that follow it can't read it")
		m.state.SetUpstreamsUnavailable()
	default:
		m.log.Info("dependency regained", "dependency", "store", "table", "all")
		m.state.SetUpstreamsAvailable()
	}
}

// handleConnectionChange handles a connection to another router that was opened or lost.
func (m *mesh) handleConnectionChange(c peer.Change) {
	m.log.Info("router connection changed", "other", c.Router, "address", c.Address, "incarnation", c.Incarnation, "connected", c.Connected)
	m.origins.handleConnectionChange(c)
	m.handovers.handleConnectionChange(c)
	routers := m.peers.Routers()
	m.coordinator.SetRouters(routers)
	m.group.SetRouters(routers)
	m.peers.SetWatched(m.group.Candidates())
	m.state.setConnectedRouters(routers)
	m.state.setGrouped(m.coordinator.IsActive())
	if !c.Connected {
		m.coordinator.HandleDisconnect(c.Router)
		m.configurationPuller.forget(c.Router)
		m.upstreamPuller.forget(c.Router)
		m.latestPuller.forget(c.Router)
		m.evacuationPuller.forget(c.Router)
		return
	}
	m.peers.Send(c.Router, &schema.Batch{
		Announcement: m.announcement(), LeavingUpstreams: m.state.leavingUpstreams(), KeptUpstreams: m.state.keptUpstreams(),
	})
	m.crashMonitor.sendRefusedRequests(c.Router)
	m.mu.Lock()
	m.lastReport = nil // so that the next report is sent even if it is unchanged
	m.mu.Unlock()
}

// receive handles a batch of messages from another router.
func (m *mesh) receive(from fleet.RouterID, batch *schema.Batch) {
	if leaving := batch.GetLeavingUpstreams(); len(leaving) > 0 {
		m.state.observeLeaving(from, leaving) // before the asks that it concerns
	}
	if kept := batch.GetKeptUpstreams(); len(kept) > 0 {
		m.state.applyKept(from, kept)
	}
	m.coordinator.HandleBatch(from, batch)
	m.crashMonitor.receive(from, batch)
	m.origins.receive(from, batch)
	m.handovers.receive(from, batch)
	if a := batch.GetAnnouncement(); a != nil {
		m.handleAnnouncement(from, a)
	}
	if m.coordinator.IsActive() {
		return // the reports were sent before the fleet became large
	}
	for _, work := range batch.GetLoads() {
		m.state.observeServiceWork(from, work)
	}
}

func (m *mesh) handleAnnouncement(from fleet.RouterID, a *schema.Announcement) {
	m.group.SetPeerStatus(from, follow.Status{Follows: a.GetFollows(), StoreLost: a.GetStoreLost()})
	m.updateFollowersLostStore()
	theirs := positionOf(a, m.state.upstreamPosition().Known.Era())
	if a.UpstreamAgeMs != nil && uint64(theirs.Version) <= m.upstreamRevision() {
		m.state.confirmUpstreams(time.Now().Add(-schema.Duration(a.GetUpstreamAgeMs())))
	}
	m.configurationPuller.handleAnnouncement(from, a.GetConfigurationVersion(), m.pullDelay())
	m.fetchRewritten(from, a)
	m.handleUpstreamPosition(from, theirs)
	evacuations := registry.NewRevision(registry.Era(a.GetEvacuationEra()), a.GetEvacuationRevision())
	m.evacuationPuller.handleAnnouncement(from, uint64(evacuations), m.pullDelay())
	own := m.announcement()
	if own.GetConfigurationVersion() > a.GetConfigurationVersion() || m.state.upstreamPosition().Version > theirs.Known ||
		m.state.EvacuationRevision() > evacuations {
		m.announceIfGrouped(from, own)
	}
}

// announceIfGrouped announces newer versions to a router that announced older ones. In a
// small fleet, each router has already announced them to all.
func (m *mesh) announceIfGrouped(router fleet.RouterID, own *schema.Announcement) {
	if m.coordinator.IsActive() {
		m.peers.Send(router, &schema.Batch{Announcement: own})
	}
}

// pullDelay returns how long to wait for an announced update to arrive from the store. A
// router that doesn't follow the store pulls from another router after a short random delay.
func (m *mesh) pullDelay() time.Duration {
	if m.group.PollInterval() > 0 {
		return rand.N(maxNonFollowerPullDelay)
	}
	return followerPullDelay
}

func (m *mesh) configurationVersion() uint64 { return uint64(m.state.Table().Version()) }

// numberIn returns the number of a revision, zero if it is of another era.
func numberIn(era registry.Era, revision registry.Revision) uint64 {
	if revision.Era() != era {
		return 0
	}
	return revision.Number()
}

func (m *mesh) upstreamRevision() uint64 { return uint64(m.state.upstreamPosition().Known) }

func (m *mesh) latestUpstreamRevision() uint64 {
	position := m.state.upstreamPosition()
	return uint64(max(position.Known, position.Latest))
}

func (m *mesh) evacuationRevision() uint64 { return uint64(m.state.EvacuationRevision()) }

// Run sends load reports and checks for overload until ctx ends. In a large fleet, where homes
// grant the turns, it gossips instead of sending reports, which no router needs then.
func (m *mesh) Run(ctx context.Context) error {
	reportTimer := time.NewTimer(reportInterval)
	defer reportTimer.Stop()
	gossipTicker := time.NewTicker(gossipInterval)
	defer gossipTicker.Stop()
	for {
		select {
		case <-gossipTicker.C:
			m.logAdmission()
			m.origins.updateMixed()
			if m.coordinator.IsActive() {
				m.gossip()
			}
		case now := <-reportTimer.C:
			m.checkOverload(now)
			if !m.coordinator.IsActive() {
				m.report(now, m.peers.Routers())
			}
			reportTimer.Reset(reportInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkOverload measures whether the router has enough processor time and a free link, and
// adapts shedding and overload.
func (m *mesh) checkOverload(now time.Time) {
	latency := m.scheduling.Wait()
	m.latency.Store(int64(latency))
	// A queue that is non-empty for long may still be short, so it counts as a moderate wait
	// at most.
	wait := max(latency, min(m.acceptQueue.Duration(now), maxQueueWait))
	if m.shedder.Observe(now, wait) {
		m.log.Warn("shedding changed", "shedding", m.shedder.IsShedding(), "wait-ms", wait.Milliseconds())
	}
	overloadWait := wait
	if !m.shedder.IsExhausted() {
		// As long as shedding suffices, the router must not send all its callers away: the
		// balancer would move the whole flood to the next small router.
		overloadWait = 0
	}
	if m.overload.Observe(now, overloadWait) {
		m.log.Warn("overload changed", "overloaded", m.overload.IsOverloaded(), "wait-ms", wait.Milliseconds(),
			"mean-wait-ms", m.overload.MeanWait().Milliseconds())
	}
	m.checkLink(now)
	m.handovers.observe(now, wait)
}

// checkLink measures whether the router's link is full.
func (m *mesh) checkLink(now time.Time) {
	delay := m.coordinator.AnswerDelay(now)
	if m.link.Observe(now, delay) {
		m.log.Warn("link load changed", "full", m.link.IsOverloaded(), "delay-ms", delay.Milliseconds(),
			"mean-delay-ms", m.link.MeanWait().Milliseconds())
	}
}

// isOverloaded reports whether callers should go to other routers.
func (m *mesh) isOverloaded() bool { return m.overload.IsOverloaded() || m.link.IsOverloaded() }

// shortOfTimeWait is for how long connections wait to be accepted, or goroutines for the processor, if time is short.
const shortOfTimeWait = 50 * time.Millisecond

// isShortOfTime reports whether heads and bodies that take much processor time for their bytes have to be refused. It is
// earlier than shedding, which also counts requests that cost little.
func (m *mesh) isShortOfTime() bool {
	return m.shedder.IsShedding() || m.schedulingLatency() > shortOfTimeWait || m.acceptQueue.Duration(time.Now()) > shortOfTimeWait
}

// schedulingLatency returns the latest wait for the processor that one goroutine in ten
// exceeded.
func (m *mesh) schedulingLatency() time.Duration { return time.Duration(m.latency.Load()) }

// logAdmission logs the requests admitted in the last second while the router sheds load.
func (m *mesh) logAdmission() {
	admission := m.shedder.Admission()
	if !m.shedder.IsShedding() || m.requestsInFlight == nil {
		return
	}
	m.log.Info("admission limited", "rate", admission.Rate, "requests", admission.Requests, "admitted", admission.Admitted,
		"in-hand", m.requestsInFlight(), "queue-ms", m.acceptQueue.Duration(time.Now()).Milliseconds(),
		"mean-wait-ms", m.overload.MeanWait().Milliseconds(), "memory-mb", overload.Memory()>>20)
}

// report sends a load report if it differs from the last one or the last one is old.
func (m *mesh) report(now time.Time, routers []fleet.RouterID) {
	batch := &schema.Batch{Loads: m.state.serviceWork(now)}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		m.log.Error("report could not be encoded", "error", err)
		return
	}
	m.mu.Lock()
	unchanged := string(data) == string(m.lastReport) && now.Sub(m.lastReportTime) < reportRefreshInterval
	if !unchanged {
		m.lastReport = data
		m.lastReportTime = now
	}
	m.mu.Unlock()
	if unchanged || len(data) == 0 {
		return
	}
	for _, router := range routers {
		m.peers.Send(router, batch)
	}
}
