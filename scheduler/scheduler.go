// Package scheduler is a router's part in the fleet's dispatch. It keeps the
// requests that wait here, asks the dispatchers of their upstreams for slots,
// and hands each granted slot to a waiting request. It also runs this router's
// dispatcher, for the upstreams that rendezvous hashing over the live routers
// gives it, and its keeper.
//
// Requests and their bodies stay at the router that the caller reached; only
// short messages travel. All state belongs to one control goroutine.
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

// Peers carries messages between routers. Package peer has it.
type Peers interface {
	// Send hands a batch to a router, or drops it when that is not connected.
	Send(to fleet.RouterID, batch *schema.Batch)
	// OnBatch calls fn with each batch that arrives, in order for each router.
	OnBatch(fn func(from fleet.RouterID, batch *schema.Batch))
	// OnChange calls fn when a connection comes, before its first batch, and
	// when it goes, after its last.
	OnChange(fn func(change peer.Change))
	// Target replaces the routers to connect to.
	Target(addresses map[fleet.RouterID]string)
}

// Sharing is the way that slots are shared between routers.
type Sharing int

const (
	// Fleet lets one dispatcher per upstream serve all routers.
	Fleet Sharing = iota
	// StaticShare gives each router its part of each upstream's slots, and
	// exchanges nothing. It is a baseline.
	StaticShare
)

// Options configure a Scheduler.
type Options[O share.Order[fleet.Number], L inflight.Limiter, P placement.Policy] struct {
	Self        fleet.RouterID
	Incarnation fleet.Incarnation
	Notes       note.Source
	// Peers is nil for a router without others.
	Peers Peers
	// VMs is the platform's list; nil means that only connections count.
	VMs     store.VMs
	Timer   timer.Service
	Metrics *metric.Set
	Logger  *slog.Logger
	// Client polls upstreams for their load; nil means that none is polled.
	Client *http.Client

	Sharing   Sharing
	Order     func() O
	Limiter   func(slots int) L
	Placement P
	Admission admission.Policy
	// MaxWaiting and MaxWaitingTotal bound waiting requests, by account and in
	// all; zero means 256 and 4096.
	MaxWaiting      int
	MaxWaitingTotal int
	// TakeoverWait and Grace are those of the dispatcher; zero means its defaults.
	TakeoverWait time.Duration
	Grace        time.Duration
	// Warmup lets an upstream that joins or recovers take work step by step.
	Warmup bool
}

// Bounds of waiting requests when Options leave them open.
const (
	DefaultMaxWaiting      = 256
	DefaultMaxWaitingTotal = 4096
)

// slots is what the scheduler uses of a dispatcher.Dispatcher.
type slots interface {
	Own(now time.Time, owned []*schema.Upstream, services map[fleet.ServiceID]fleet.Number, others bool)
	Ask(now time.Time, from fleet.RouterID, through dispatcher.GrantID, message *schema.Ask)
	Grant(now time.Time) []dispatcher.Grant
	Release(now time.Time, from fleet.RouterID, message *schema.Release)
	Held(now time.Time, from fleet.RouterID, service fleet.Number, message *schema.Held)
	Complete(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool)
	Connected(now time.Time, from fleet.RouterID, ids map[dispatcher.GrantID]bool, restarted bool)
	Gone(now time.Time, router fleet.RouterID)
	Tick(now time.Time)
	Reported(now time.Time, upstream fleet.Number, load inflight.Load)
	Reports(threshold fleet.Tokens) map[fleet.Number][]share.Report[fleet.Number]
	Observe(service, account fleet.Number, total share.Total)
	Reassigned(service, account fleet.Number)
	Forget(account fleet.Number)
	Idle(now time.Time) map[fleet.Number]int
	Busy(now time.Time, service fleet.Number) (inFlight, limit int)
	Draining() []fleet.Number
	Filled(now time.Time, upstream fleet.Number) bool
	Unmet(service fleet.Number) bool
	InFlight(upstream fleet.Number) (int, bool)
	Limit(now time.Time, upstream fleet.Number) int
}

// config is the part of Options without the policies of the dispatcher.
type config struct {
	self            fleet.RouterID
	incarnation     fleet.Incarnation
	notes           note.Source
	peers           Peers
	vms             store.VMs
	timer           timer.Service
	metrics         *metric.Set
	logger          *slog.Logger
	client          *http.Client
	sharing         Sharing
	admission       admission.Policy
	maxWaiting      int
	maxWaitingTotal int
}

// Scheduler implements dispatch.Source for one router of a fleet.
type Scheduler struct {
	config
	loop    *control.Loop
	slots   slots
	members *membership.Members
	keeper  *keeper.Keeper

	entry    *entry
	assigned assignment
	outbox   outbox
	routers  map[fleet.RouterID]*router
	exchange exchange
	poller   *poller
	free     freeAnnouncer
	drains   drains
	denials  denials
	view     *note.View
	// departing are the upstreams that the platform's list shows as leaving.
	departing map[fleet.UpstreamID]bool
	// stopping is set once the graceful shutdown has begun.
	stopping bool
	// stale is set when the assignment has to be worked out again.
	stale bool
}

// router is what is known of another router's connection.
type router struct {
	incarnation fleet.Incarnation
	dataCenter  fleet.DataCenterID
	address     string
	connected   bool
	// fresh is set until the first complete batch of a connection.
	fresh     bool
	restarted bool
	// completeAt is when it was last told all.
	completeAt time.Time
	// seen is the highest id of this router's grants that it has seen, told
	// the highest of its grants that it was told to have been seen here.
	seen uint64
	told uint64
}

// New returns a Scheduler that starts to work when it is run.
func New[O share.Order[fleet.Number], L inflight.Limiter, P placement.Policy](options Options[O, L, P]) *Scheduler {
	s := &Scheduler{config: configOf(options), routers: make(map[fleet.RouterID]*router)}
	s.loop = control.New(s.settle)
	s.slots = dispatcher.New(dispatcher.Options[O, L, P]{
		Order: options.Order, Limiter: options.Limiter, Placement: options.Placement,
		Weight: s.weight, Warmup: options.Warmup, Nonce: nonceOf(options.Self, options.Incarnation),
		TakeoverWait: options.TakeoverWait, Grace: options.Grace,
	})
	s.members = membership.New(membership.Options{Self: options.Self})
	s.keeper = keeper.New(keeper.Options{})
	s.entry = newEntry()
	s.outbox = newOutbox(s)
	s.exchange = newExchange()
	s.poller = newPoller(s)
	s.free = newFreeAnnouncer()
	s.drains = newDrains()
	s.denials = newDenials()
	if s.peers != nil {
		s.peers.OnBatch(func(from fleet.RouterID, batch *schema.Batch) {
			s.loop.Post(func() { s.receive(from, batch) })
		})
		s.peers.OnChange(func(change peer.Change) {
			s.loop.Post(func() { s.connectionChanged(change) })
		})
	}
	return s
}

func configOf[O share.Order[fleet.Number], L inflight.Limiter, P placement.Policy](options Options[O, L, P]) config {
	c := config{
		self: options.Self, incarnation: options.Incarnation, notes: options.Notes, peers: options.Peers,
		vms: options.VMs, timer: options.Timer, metrics: options.Metrics, logger: options.Logger,
		client: options.Client, sharing: options.Sharing, admission: options.Admission,
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

// Intervals of the control goroutine's own work.
const (
	// tickInterval paces deadlines, limits that adapt with time, and asks at
	// further dispatchers. It is a few round trips between data centres.
	tickInterval = 10 * time.Millisecond
	// upkeepInterval paces what nobody waits for.
	upkeepInterval = 250 * time.Millisecond
	// exchangeInterval paces the comparison of service. In the virtual-time
	// model 100 ms in place of 250 halves the fairness gap.
	exchangeInterval = 100 * time.Millisecond
	// leastCompleteInterval is how often each router is told all that this one
	// asks of it and holds. Connections lose nothing, so it is a safeguard: a
	// fault of ours that leaves a slot taken or a word unsaid then idles an
	// upstream for seconds and not for good. completePerRouter stretches it, so
	// that at 460 routers it takes five minutes and 1.5 messages a second.
	leastCompleteInterval = 20 * time.Second
	completePerRouter     = 650 * time.Millisecond
)

// Run works until ctx ends. Requests that still wait then are refused with
// reason stopping.
func (s *Scheduler) Run(ctx context.Context) error {
	defer s.poller.close()
	tick := s.loop.Every(s.timer, tickInterval, s.tick)
	defer tick.Cancel()
	upkeep := s.loop.Every(s.timer, upkeepInterval, s.upkeep)
	defer upkeep.Cancel()
	exchange := s.loop.Every(s.timer, exchangeInterval, func(now time.Time) { s.exchange.tick(s, now) })
	defer exchange.Cancel()
	list := s.listVMs(ctx)
	defer list()
	s.loop.Post(func() { s.refresh(s.timer.Now()) })
	err := s.loop.Run(ctx)
	s.entry.refuseAll(refusal.New(refusal.Stopping, "the router is stopping", time.Second))
	return err
}

// Leave tells the other routers that this one begins its graceful shutdown.
// They take over its upstreams; what waits here still gets its turn.
func (s *Scheduler) Leave() {
	s.loop.Post(func() {
		s.stopping = true
		s.members.Leave(s.timer.Now(), s.self, true)
		for id, r := range s.routers {
			if r.connected {
				s.outbox.to(id).Leaving = true
				s.outbox.urgent(id)
			}
		}
		s.refresh(s.timer.Now())
	})
}

// settle ends each round of the control goroutine: it grants what can be
// granted and sends what has to be sent.
func (s *Scheduler) settle() {
	now := s.timer.Now()
	if s.notes.Current() != s.view {
		s.refresh(now)
	}
	for {
		s.grant(now)
		if !s.deliverOwn(now) {
			break
		}
	}
	s.outbox.flushDue(now)
}

func (s *Scheduler) grant(now time.Time) {
	for _, g := range s.slots.Grant(now) {
		out := s.outbox.to(g.To)
		out.Grants = append(out.Grants, &schema.Grant{
			Id: g.ID.Count(), Account: uint32(g.Account), Upstream: uint32(g.Upstream), Begin: g.Begin,
		})
		s.outbox.urgent(g.To)
	}
}

func (s *Scheduler) tick(now time.Time) {
	s.slots.Tick(now)
	s.entry.expire(s, now)
	s.entry.widen(s, now)
	s.free.tick(s, now)
	s.drains.tell(s)
	s.poller.tick(now)
}

func (s *Scheduler) upkeep(now time.Time) {
	s.stale = s.denials.expire(now) || s.stale
	s.refresh(now)
	s.connect()
	s.entry.review(s, now)
	s.entry.measure(now)
	s.repeatComplete(now)
	s.keeper.Tick(now)
	s.gauges()
}

func (s *Scheduler) weight(account fleet.Number) uint32 {
	if s.view == nil {
		return 1
	}
	return max(1, s.view.AccountByNumber(account).GetWeight())
}

var _ dispatch.Source = (*Scheduler)(nil)
