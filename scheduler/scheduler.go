// Package scheduler implements one router's part in dispatching the fleet's
// requests. It queues this router's requests, asks the dispatchers of their
// upstreams for slots and starts one waiting request for each granted slot. It
// also runs this router's keeper and its dispatcher, which serves the upstreams
// assigned to this router by rendezvous hashing over the live routers.
//
// Requests and their bodies stay at the router that received them; routers
// exchange short messages only. One control goroutine owns all state.
package scheduler

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/control"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/keeper"
	"nutmeglock.example/nutmeglock/membership"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/timer"
)

// Peers exchanges messages with other routers. Package peer implements it.
type Peers interface {
	// Send queues a batch for a router, or drops it if the router is not connected.
	Send(to fleet.RouterID, batch *schema.Batch)
	// OnBatch registers fn, which is called for each received batch, in order per sender.
	OnBatch(fn func(from fleet.RouterID, batch *schema.Batch))
	// OnChange registers fn, which is called when a connection opens, before its
	// first batch, and when it closes, after its last.
	OnChange(fn func(change peer.Change))
	// SetTargets sets the routers to connect to.
	SetTargets(addresses map[fleet.RouterID]string)
}

// Sharing selects how the routers share the slots of an upstream.
type Sharing int

const (
	// FleetWide shares all slots: each upstream has one dispatcher, which serves all routers.
	FleetWide Sharing = iota
	// StaticShare gives each router a fixed share of each upstream's slots,
	// without messages between routers. It is a baseline for comparison.
	StaticShare
)

// Options configure a Scheduler.
type Options[O share.Policy[fleet.ShortID], L inflight.Limiter, P placement.Policy] struct {
	Self        fleet.RouterID
	Incarnation fleet.Incarnation
	Notes       note.Source
	// Peers is nil if there are no other routers.
	Peers Peers
	// VMs is the platform's VM list; if nil, only connections determine the members.
	VMs     store.VMLister
	Timer   timer.Service
	Metrics *metric.Set
	Logger  *slog.Logger
	// PollClient polls upstreams for their load; nil disables polling.
	PollClient *http.Client

	Sharing     Sharing
	SharePolicy func() O
	Limiter     func(slots int) L
	Placement   P
	Admission   admission.Policy
	// MaxWaiting and MaxWaitingTotal limit the waiting requests of an account
	// and of all accounts; zero means 256 and 4096.
	MaxWaiting      int
	MaxWaitingTotal int
	// TakeoverWait and Grace are passed to the dispatcher; zero means its defaults.
	TakeoverWait time.Duration
	Grace        time.Duration
	// Warmup gradually raises the load of an upstream that joins or recovers.
	Warmup bool
}

// Default limits of waiting requests.
const (
	DefaultMaxWaiting      = 256
	DefaultMaxWaitingTotal = 4096
)

// slotDispatcher is the part of dispatcher.Dispatcher that the scheduler uses.
type slotDispatcher interface {
	SetUpstreams(now time.Time, owned []*schema.Upstream, services map[fleet.ServiceID]fleet.ShortID, others bool)
	HandleAsk(now time.Time, from fleet.RouterID, through dispatcher.GrantID, message *schema.Ask)
	Grant(now time.Time) []dispatcher.Grant
	Release(now time.Time, from fleet.RouterID, message *schema.Release)
	HandleHeld(now time.Time, from fleet.RouterID, service fleet.ShortID, message *schema.Held)
	Reconcile(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool)
	HandleConnect(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool, restarted bool)
	HandleDisconnect(now time.Time, router fleet.RouterID)
	Tick(now time.Time)
	UpdateLoad(now time.Time, upstream fleet.ShortID, load inflight.Load)
	Reports(threshold fleet.Tokens) map[fleet.ShortID][]share.Report[fleet.ShortID]
	Observe(service, account fleet.ShortID, total share.Total)
	MarkReassigned(service, account fleet.ShortID)
	Forget(account fleet.ShortID)
	FreeSlots(now time.Time) map[fleet.ShortID]int
	ServiceLoad(now time.Time, service fleet.ShortID) (inFlight, limit int)
	DrainingUpstreams() []fleet.ShortID
	IsFull(now time.Time, upstream fleet.ShortID) bool
	HasWaiting(service fleet.ShortID) bool
	InFlight(upstream fleet.ShortID) (int, bool)
	Limit(now time.Time, upstream fleet.ShortID) int
}

// config holds the Options except those of the dispatcher.
type config struct {
	self            fleet.RouterID
	incarnation     fleet.Incarnation
	notes           note.Source
	peers           Peers
	vms             store.VMLister
	timer           timer.Service
	metrics         *metric.Set
	logger          *slog.Logger
	pollClient      *http.Client
	sharing         Sharing
	admission       admission.Policy
	maxWaiting      int
	maxWaitingTotal int
}

// Scheduler implements dispatch.Source for one router of a fleet.
type Scheduler struct {
	config
	loop       *control.Loop
	dispatcher slotDispatcher
	members    *membership.Members
	keeper     *keeper.Keeper

	local         *localRequests
	assignment    assignment
	outbox        outbox
	routers       map[fleet.RouterID]*remoteRouter
	exchange      serviceExchange
	loadPoller    *loadPoller
	freeAnnouncer freeAnnouncer
	drainReports  drainReports
	denials       denials
	view          *note.View
	// leavingInList holds the upstreams marked as leaving in the platform's VM list.
	leavingInList map[fleet.UpstreamID]bool
	// stopping is set when the graceful shutdown begins.
	stopping bool
	// assignmentStale is set when the assignment must be recomputed.
	assignmentStale bool
}

// remoteRouter holds the state of the connection to another router.
type remoteRouter struct {
	incarnation fleet.Incarnation
	dataCenter  fleet.DataCenterID
	address     string
	connected   bool
	// awaitsComplete is set until a connection's first complete batch arrives.
	awaitsComplete bool
	restarted      bool
	// completeSentAt is when the last complete batch was sent to it.
	completeSentAt time.Time
	// seenGrant is the highest sequence number among this router's grants that it
	// has received, ackedGrant the highest among its grants acknowledged to it.
	seenGrant  uint64
	ackedGrant uint64
}

// New returns a Scheduler; Run starts it.
func New[O share.Policy[fleet.ShortID], L inflight.Limiter, P placement.Policy](options Options[O, L, P]) *Scheduler {
	s := &Scheduler{config: configOf(options), routers: make(map[fleet.RouterID]*remoteRouter)}
	s.loop = control.New(s.finishRound)
	s.dispatcher = dispatcher.New(dispatcher.Options[O, L, P]{
		SharePolicy: options.SharePolicy, Limiter: options.Limiter, Placement: options.Placement,
		Weight: s.accountWeight, Warmup: options.Warmup, Nonce: nonceOf(options.Self, options.Incarnation),
		TakeoverWait: options.TakeoverWait, Grace: options.Grace,
	})
	s.members = membership.New(membership.Options{Self: options.Self})
	s.keeper = keeper.New(keeper.Options{})
	s.local = newLocalRequests()
	s.outbox = newOutbox(s)
	s.exchange = newServiceExchange()
	s.loadPoller = newLoadPoller(s)
	s.freeAnnouncer = newFreeAnnouncer()
	s.drainReports = newDrainReports()
	s.denials = newDenials()
	if s.peers != nil {
		s.peers.OnBatch(func(from fleet.RouterID, batch *schema.Batch) {
			s.loop.Post(func() { s.receive(from, batch) })
		})
		s.peers.OnChange(func(change peer.Change) {
			s.loop.Post(func() { s.handleConnectionChange(change) })
		})
	}
	return s
}

func configOf[O share.Policy[fleet.ShortID], L inflight.Limiter, P placement.Policy](options Options[O, L, P]) config {
	c := config{
		self: options.Self, incarnation: options.Incarnation, notes: options.Notes, peers: options.Peers,
		vms: options.VMs, timer: options.Timer, metrics: options.Metrics, logger: options.Logger,
		pollClient: options.PollClient, sharing: options.Sharing, admission: options.Admission,
		maxWaiting: options.MaxWaiting, maxWaitingTotal: options.MaxWaitingTotal,
	}
	if c.timer == nil {
		c.timer = timer.System{}
	}
	if c.logger == nil {
		c.logger = slog.New(slog.DiscardHandler)
	}
	if c.maxWaiting <= 0 {
		c.maxWaiting = DefaultMaxWaiting
	}
	if c.maxWaitingTotal <= 0 {
		c.maxWaitingTotal = DefaultMaxWaitingTotal
	}
	return c
}

// Intervals of the control goroutine's periodic work.
const (
	// tickInterval applies to deadlines, adaptive limits and asks to further
	// dispatchers. It is a few round trips between data centres.
	tickInterval = 10 * time.Millisecond
	// maintenanceInterval applies to work that no request waits for.
	maintenanceInterval = 250 * time.Millisecond
	// exchangeInterval applies to service reports to keepers. In the virtual-time
	// model, 100 ms instead of 250 ms halves the fairness gap.
	exchangeInterval = 100 * time.Millisecond
	// minCompleteInterval is the least time between two complete batches to the
	// same router. Connections lose no messages, so this is a safeguard: if a bug
	// leaks a slot or omits a message, an upstream idles for seconds and not for
	// ever. completeIntervalPerRouter extends the interval: with 460 routers it
	// is five minutes, which takes 1.5 messages a second.
	minCompleteInterval       = 20 * time.Second
	completeIntervalPerRouter = 650 * time.Millisecond
)

// Run runs the scheduler until ctx ends. It then refuses all waiting requests
// with reason stopping.
func (s *Scheduler) Run(ctx context.Context) error {
	defer s.loadPoller.close()
	tick := s.loop.Every(s.timer, tickInterval, s.tick)
	defer tick.Cancel()
	maintenance := s.loop.Every(s.timer, maintenanceInterval, s.maintain)
	defer maintenance.Cancel()
	exchange := s.loop.Every(s.timer, exchangeInterval, func(now time.Time) { s.exchange.sendReports(s, now) })
	defer exchange.Cancel()
	stopPolling := s.pollVMList(ctx)
	defer stopPolling()
	s.loop.Post(func() { s.refreshAssignment(s.timer.Now()) })
	err := s.loop.Run(ctx)
	s.local.refuseAll(refusal.New(refusal.Stopping, "the router is stopping", time.Second))
	return err
}

// Leave announces this router's graceful shutdown to the other routers. They take
// over its upstreams; requests that wait here are still served.
func (s *Scheduler) Leave() {
	s.loop.Post(func() {
		s.stopping = true
		s.members.SetLeaving(s.timer.Now(), s.self, true)
		for id, r := range s.routers {
			if r.connected {
				s.outbox.batchTo(id).Leaving = true
				s.outbox.sendUrgently(id)
			}
		}
		s.refreshAssignment(s.timer.Now())
	})
}

// finishRound runs at the end of each round of the control goroutine. It grants
// the free slots and sends the batches that are due.
func (s *Scheduler) finishRound() {
	now := s.timer.Now()
	if s.notes.Current() != s.view {
		s.refreshAssignment(now)
	}
	for {
		s.sendGrants(now)
		if !s.deliverLocal(now) {
			break
		}
	}
	s.outbox.flushDue(now)
}

func (s *Scheduler) sendGrants(now time.Time) {
	for _, g := range s.dispatcher.Grant(now) {
		out := s.outbox.batchTo(g.To)
		out.Grants = append(out.Grants, &schema.Grant{
			Id: g.ID.Count(), Account: uint32(g.Account), Upstream: uint32(g.Upstream), Begin: g.ReportBegin,
		})
		s.outbox.sendUrgently(g.To)
	}
}

func (s *Scheduler) tick(now time.Time) {
	s.dispatcher.Tick(now)
	s.local.expire(s, now)
	s.local.widenAsks(s, now)
	s.freeAnnouncer.tick(s, now)
	s.drainReports.announce(s)
	s.loadPoller.tick(now)
}

func (s *Scheduler) maintain(now time.Time) {
	s.assignmentStale = s.denials.expire(now) || s.assignmentStale
	s.refreshAssignment(now)
	s.updatePeerTargets()
	s.local.reviewQueues(s, now)
	s.local.updateStartRate(now)
	s.repeatComplete(now)
	s.keeper.Tick(now)
	s.updateGauges()
}

func (s *Scheduler) accountWeight(account fleet.ShortID) uint32 {
	if s.view == nil {
		return 1
	}
	return max(1, s.view.AccountByNumber(account).GetWeight())
}

var _ dispatch.Source = (*Scheduler)(nil)
