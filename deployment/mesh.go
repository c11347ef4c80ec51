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
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
)

const (
	// patience is how long a router waits for an announced update to come from the
	// store before it asks the other router. The store sends it to all routers within
	// some milliseconds, so in calm nobody asks.
	patience = 150 * time.Millisecond
	// restPatience is the most that a router waits that doesn't follow the store.
	restPatience = 30 * time.Millisecond
	// gossipInterval and gossipRouters are how often a router of a large fleet announces
	// its versions to how many others.
	gossipInterval = time.Second
	gossipRouters  = 3
	// reportInterval is the least time between two reports of what this router
	// has at the upstreams. A prompt is read in some 50 to 300 ms; with older
	// reports routers send to an engine that the others have just filled.
	reportInterval = 50 * time.Millisecond
	// mostQueueWait bounds what connections that wait to be accepted count for.
	mostQueueWait = 40 * time.Millisecond
	// refreshInterval is when a report is repeated that has not changed, well
	// within the time for which it counts.
	refreshInterval = 500 * time.Millisecond
)

// mesh connects the state of a router with those of the others, so that an update
// reaches all of them even if the store serves only some.
type mesh struct {
	state *State
	peers *peer.Peers
	homes *home.Homes
	// group says whether this router follows the store for others.
	group *follow.Group
	// overload tells whether this router has too little processor time, by how long
	// its goroutines wait for it.
	overload   overload.Detector
	scheduling overload.Scheduling
	// latency is the latest scheduling latency in nanoseconds.
	latency atomic.Int64
	shedder overload.Shedder[fleet.AccountID]
	// queue is that of connections that wait to be accepted.
	queue overload.Standing
	// inHand returns how many requests of callers are in hand; nil when it isn't known.
	inHand func() int
	// crashes finds requests that crash upstreams, and quarantines keeps what it found.
	crashes     crashes
	quarantines quarantineKeeper
	// encodings holds the configuration as other routers get it.
	encodings encodingCache
	log       *slog.Logger

	// configurations and upstreams take from other routers what is newer there.
	configurations puller
	upstreams      puller

	mu       sync.Mutex
	reported time.Time
	last     []byte
	// blind is set while no router that follows the store for this one can read it.
	blind bool
}

// newMesh returns a mesh. Check returns an error if an upstream can't be reached.
func newMesh(state *State, options peer.Options, check func(ctx context.Context, address string) error) *mesh {
	m := &mesh{state: state, peers: peer.New(options), log: options.Logger}
	m.homes = &home.Homes{Self: options.Self, Send: m.peers.Send, Pool: state.Pool, Log: options.Logger, Guard: options.Guard}
	m.group = &follow.Group{Self: options.Self}
	m.crashes = crashes{
		self: options.Self, routers: m.peers.Routers, send: m.peers.Send, entry: state.Upstream, check: check,
		keep: m.quarantines.keep, log: options.Logger, guard: options.Guard,
	}
	m.configurations = puller{
		name: "configuration", held: m.configurationHeld, fetch: m.fetchConfiguration, timer: timer.System{}, log: options.Logger,
		guard: options.Guard,
	}
	m.upstreams = puller{
		name: "upstreams", held: m.upstreamsHeld, fetch: m.fetchUpstreams, timer: timer.System{}, log: options.Logger,
		guard: options.Guard,
	}
	state.homes = m.homes
	m.peers.Handle(knowledgeMethod, m.answer)
	m.peers.OnBatch(m.receive)
	m.peers.OnChange(m.changed)
	return m
}

// announcement returns the versions that this router holds.
func (m *mesh) announcement() *schema.Announcement {
	own := m.group.Own()
	return &schema.Announcement{
		ConfigurationVersion: m.configurationHeld(), UpstreamRevision: m.upstreamsHeld(),
		Follows: own.Follows, StoreLost: own.Lost,
	}
}

// announce tells all routers which versions this router holds, and whether it follows
// the store.
func (m *mesh) announce() { m.announceTo(m.peers.Routers()) }

func (m *mesh) announceTo(routers []fleet.RouterID) {
	batch := &schema.Batch{Announcement: m.announcement()}
	for _, router := range routers {
		m.peers.Send(router, batch)
	}
}

// learned announces what has taken effect here. In a large fleet a router doesn't
// announce what came from another one, which has announced it to all.
func (m *mesh) learned(from string) {
	if from == fromStore || m.group.Rest() == 0 {
		m.announce()
	}
}

// storeLost notes whether this router can read the store.
func (m *mesh) storeLost(lost bool) {
	m.group.SetLost(lost)
	m.announce()
}

// gossip announces this router's versions to some others, for routers that are connected
// with none that follows the store, and for announcements lost with a connection.
func (m *mesh) gossip() {
	routers := m.peers.Routers()
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	m.announceTo(routers[:min(len(routers), gossipRouters)])
	m.checkBlind()
}

// checkBlind notes whether the routers that follow the store can read it: entries that
// vanish while they can't may return.
func (m *mesh) checkBlind() {
	blind := m.group.IsBlind()
	m.mu.Lock()
	changed := m.blind != blind
	m.blind = blind
	m.mu.Unlock()
	switch {
	case !changed:
	case blind:
		m.log.Warn("dependency lost", "dependency", "store", "table", "all", "error", "the routers that follow it can't read it")
		m.state.LoseUpstreams()
	default:
		m.log.Info("dependency regained", "dependency", "store", "table", "all")
		m.state.RegainUpstreams()
	}
}

// changed takes note of a connection that came or went.
func (m *mesh) changed(c peer.Change) {
	m.log.Info("router connection changed", "other", c.Router, "address", c.Address, "incarnation", c.Incarnation, "connected", c.Connected)
	routers := m.peers.Routers()
	m.homes.SetRouters(routers)
	m.group.SetRouters(routers)
	m.state.setGrouped(m.homes.Decide())
	if !c.Connected {
		m.homes.Lost(c.Router)
		m.configurations.forget(c.Router)
		m.upstreams.forget(c.Router)
		return
	}
	m.peers.Send(c.Router, &schema.Batch{Announcement: m.announcement()})
	m.crashes.greet(c.Router)
	m.mu.Lock()
	m.last = nil // the next report goes to all
	m.mu.Unlock()
}

// receive handles a batch of another router.
func (m *mesh) receive(from fleet.RouterID, batch *schema.Batch) {
	m.homes.Hear(from, batch)
	m.crashes.receive(from, batch)
	if a := batch.GetAnnouncement(); a != nil {
		m.handleAnnouncement(from, a)
	}
	if m.homes.Decide() {
		return // a report from before the fleet was large
	}
	for _, work := range batch.GetLoads() {
		m.state.observe(from, work)
	}
}

func (m *mesh) handleAnnouncement(from fleet.RouterID, a *schema.Announcement) {
	m.group.Hear(from, follow.Standing{Follows: a.GetFollows(), Lost: a.GetStoreLost()})
	m.checkBlind()
	m.configurations.announce(from, a.GetConfigurationVersion(), m.patience())
	m.upstreams.announce(from, a.GetUpstreamRevision(), m.patience())
	own := m.announcement()
	if own.GetConfigurationVersion() > a.GetConfigurationVersion() || own.GetUpstreamRevision() > a.GetUpstreamRevision() {
		m.sendUpdate(from, own)
	}
}

// sendUpdate announces newer versions to a router that announced older ones. In a
// small fleet each router has announced them to all already.
func (m *mesh) sendUpdate(router fleet.RouterID, own *schema.Announcement) {
	if m.homes.Decide() {
		m.peers.Send(router, &schema.Batch{Announcement: own})
	}
}

// patience returns how long to wait for an announced update to come from the store. A
// router that doesn't follow the store asks soon, at a random time.
func (m *mesh) patience() time.Duration {
	if m.group.Rest() > 0 {
		return rand.N(restPatience)
	}
	return patience
}

func (m *mesh) configurationHeld() uint64 { return uint64(m.state.Table().Version()) }

func (m *mesh) upstreamsHeld() uint64 { return uint64(m.state.Settled()) }

// Run reports what this router has at the upstreams until ctx ends, unless homes
// decide: then nobody needs reports.
func (m *mesh) Run(ctx context.Context) error {
	pause := time.NewTimer(reportInterval)
	defer pause.Stop()
	gossip := time.NewTicker(gossipInterval)
	defer gossip.Stop()
	for {
		select {
		case <-gossip.C:
			m.logAdmission()
			if m.homes.Decide() {
				m.gossip()
			}
		case now := <-pause.C:
			m.notice(now)
			if !m.homes.Decide() {
				m.report(now, m.peers.Routers())
			}
			pause.Reset(reportInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notice looks whether the router has enough processor time.
func (m *mesh) notice(now time.Time) {
	latency := m.scheduling.Wait()
	m.latency.Store(int64(latency))
	// A queue may stand long and be short, so it counts for no more than a moderate wait.
	wait := max(latency, min(m.queue.For(now), mostQueueWait))
	if m.shedder.Observe(now, wait) {
		m.log.Warn("shedding changed", "shedding", m.shedder.IsShedding(), "wait-ms", wait.Milliseconds())
	}
	beyondShedding := wait
	if !m.shedder.IsExhausted() {
		// What refusing some can mend is no reason to give all callers away: the
		// balancer would bring the whole flood to the next small router.
		beyondShedding = 0
	}
	if !m.overload.Observe(now, beyondShedding) {
		return
	}
	m.log.Warn("overload changed", "overloaded", m.overload.IsOverloaded(), "wait-ms", wait.Milliseconds(),
		"mean-wait-ms", m.overload.Wait().Milliseconds())
}

// schedulingLatency returns how long one in ten goroutines waited for the processor of late.
func (m *mesh) schedulingLatency() time.Duration { return time.Duration(m.latency.Load()) }

// logAdmission notes what was admitted in the last second if some was refused.
func (m *mesh) logAdmission() {
	counted := m.shedder.Admission()
	if !m.shedder.IsShedding() || m.inHand == nil {
		return
	}
	m.log.Info("admission limited", "rate", counted.Rate, "requests", counted.Requests, "admitted", counted.Admitted,
		"in-hand", m.inHand(), "queue-ms", m.queue.For(time.Now()).Milliseconds(),
		"mean-wait-ms", m.overload.Wait().Milliseconds(), "memory-mb", overload.Memory()>>20)
}

// report sends a report when it differs from the last one, or that is old.
func (m *mesh) report(now time.Time, routers []fleet.RouterID) {
	batch := &schema.Batch{Loads: m.state.work(now)}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		m.log.Error("report could not be encoded", "error", err)
		return
	}
	m.mu.Lock()
	same := string(data) == string(m.last) && now.Sub(m.reported) < refreshInterval
	if !same {
		m.last = data
		m.reported = now
	}
	m.mu.Unlock()
	if same || len(data) == 0 {
		return
	}
	for _, router := range routers {
		m.peers.Send(router, batch)
	}
}
