package experiment

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/dispatcher"
	"nutmeglock.example/nutmeglock/fanout"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/keeper"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

// The delays for batching messages to the same router, and the intervals of
// periodic work. The values are those of package scheduler.
const (
	urgentDelay      = time.Millisecond
	releaseDelay     = 3 * time.Millisecond
	lazyDelay        = 100 * time.Millisecond
	exchangeInterval = 100 * time.Millisecond
	reportThreshold  = fleet.Tokens(100)
	tickInterval     = 10 * time.Millisecond
	reviewInterval   = 250 * time.Millisecond
)

// The overhead of control messages, and load reports.
const (
	// frameHeaderBytes is the size of the length prefix of a frame.
	frameHeaderBytes = 4
	// packetHeaderBytes is the size of the TCP and IP headers of a packet.
	packetHeaderBytes = 40
	// loadReportBytes is the size of a load report read over HTTP, with headers.
	loadReportBytes = 400
	pollInterval    = time.Second
	// loadReportLag is the age of a load report on arrival.
	loadReportLag = 500 * time.Millisecond
)

// slotDispatcher is the type of a router's dispatcher.
type slotDispatcher = dispatcher.Dispatcher[share.Policy[fleet.ShortID], inflight.Limiter, placement.Policy]

// router is a simulated router: the queues of its callers, a dispatcher for the
// upstreams assigned to it, and a keeper of service totals.
type router struct {
	sim        *simulation
	index      int
	id         fleet.RouterID
	dispatcher *slotDispatcher
	keeper     *keeper.Keeper
	queues     []*queue
	// queueByKey holds the same queues as queues.
	queueByKey map[queueKey]*queue
	// grantedThrough is the highest grant number received from each router.
	grantedThrough []uint64
	outgoing       []*outgoingBatch
}

// outgoingBatch collects the messages to one router until they are due.
type outgoingBatch struct {
	batch      *schema.Batch
	due        time.Duration
	scheduleID int
}

func newRouter(sim *simulation, index int) *router {
	r := &router{
		sim: sim, index: index, id: sim.routerIDs[index], keeper: keeper.New(keeper.Options{}),
		queueByKey: make(map[queueKey]*queue), grantedThrough: make([]uint64, len(sim.routerIDs)),
	}
	r.dispatcher = dispatcher.New(dispatcher.Options[share.Policy[fleet.ShortID], inflight.Limiter, placement.Policy]{
		SharePolicy: sim.policy.sharePolicy, Limiter: sim.policy.limiter, Placement: sim.policy.placement,
		Weight: func(account fleet.ShortID) uint32 { return sim.weight(int(account)) },
		Warmup: !sim.policy.static, Nonce: uint16(index),
	})
	for range sim.routerIDs {
		r.outgoing = append(r.outgoing, &outgoingBatch{})
	}
	return r
}

// start schedules the router's periodic work, at a different offset for each
// router.
func (r *router) start() {
	offset := time.Duration(r.index) * 977 * time.Microsecond
	r.sim.clock.runEvery(offset, tickInterval, r.widenAsks)
	r.sim.clock.runEvery(offset, exchangeInterval, r.exchangeService)
	r.sim.clock.runEvery(offset, reviewInterval, r.reviewDeadlines)
}

// batchTo returns the batch for another router, which is sent within delay.
func (r *router) batchTo(router int, delay time.Duration) *schema.Batch {
	out := r.outgoing[router]
	due := r.sim.clock.elapsed + delay
	if out.batch == nil {
		out.batch = &schema.Batch{}
		out.due = due + 1
	}
	if due < out.due {
		out.due = due
		out.scheduleID++
		id := out.scheduleID
		r.sim.clock.runAfter(delay, func() {
			if out.scheduleID == id && out.batch != nil {
				r.sendBatch(router)
			}
		})
	}
	return out.batch
}

// sendBatch sends the collected messages to another router.
func (r *router) sendBatch(router int) {
	out := r.outgoing[router]
	batch := out.batch
	out.batch = nil
	if len(batch.GetAsks()) > 0 {
		batch.GrantedThrough = r.grantedThrough[router]
	}

	r.sim.control.countMessage(proto.Size(batch))
	r.sim.clock.runAfter(r.sim.deployment.delay(r.index, router), func() {
		r.sim.routers[router].receive(r.index, batch)
	})
}

// receive processes a batch from another router.
func (r *router) receive(from int, batch *schema.Batch) {
	now := r.sim.clock.now()
	id := r.sim.routerIDs[from]
	for _, held := range batch.GetHeld() {
		service := r.sim.serviceOf(held.GetUpstream())
		r.dispatcher.HandleHeld(now, id, fleet.ShortID(service), held)
	}
	for _, release := range batch.GetReleases() {
		r.dispatcher.Release(now, id, release)
	}
	for _, ask := range batch.GetAsks() {
		r.dispatcher.HandleAsk(now, id, dispatcher.NewGrantID(batch.GetGrantedThrough(), uint16(r.index)), ask)
	}
	for _, report := range batch.GetReports() {
		total := r.updateKeeper(from, report)
		back := r.batchTo(from, lazyDelay)
		back.Totals = append(back.Totals, total)
	}
	for _, total := range batch.GetTotals() {
		r.observeTotal(total)
	}
	for _, free := range batch.GetFree() {
		r.handleFreeSlots(from, int(free.GetService()))
	}
	for _, grant := range batch.GetGrants() {
		r.handleGrant(from, grant)
	}
	r.grantSlots()
}

// grantSlots grants slots until none is free or no request waits.
func (r *router) grantSlots() {
	for {
		grants := r.dispatcher.Grant(r.sim.clock.now())
		if len(grants) == 0 {
			return
		}
		for _, g := range grants {
			r.deliverGrant(g)
		}
	}
}

// deliverGrant sends a grant to the router whose request gets the slot.
func (r *router) deliverGrant(g dispatcher.Grant) {
	message := &schema.Grant{
		Id: g.ID.Count(), Account: uint32(g.Account), Upstream: uint32(g.Upstream), Begin: g.ReportBegin,
	}
	to := slices.Index(r.sim.routerIDs, g.To)
	if to == r.index {
		r.handleGrant(r.index, message)
		return
	}
	batch := r.batchTo(to, urgentDelay)
	batch.Grants = append(batch.Grants, message)
}

// exchangeService reports service to the keepers and announces idle slots.
func (r *router) exchangeService() {
	if r.sim.policy.static {
		return
	}
	reports := r.dispatcher.Reports(reportThreshold)
	for service := range serviceNames {
		for _, report := range reports[fleet.ShortID(service)] {
			r.sendReport(service, report)
		}
	}
	r.announceIdleSlots()
	r.dispatcher.Tick(r.sim.clock.now())
	r.grantSlots()
}

// sendReport sends the service of an account to its keeper.
func (r *router) sendReport(service int, report share.Report[fleet.ShortID]) {
	message := &schema.ServiceReport{
		Service: uint32(service), Account: uint32(report.Key),
		Cumulative: int64(report.Cumulative), Floor: int64(report.Floor),
		Outstanding: uint32(max(report.Outstanding, 0)),
	}
	to := r.sim.keeperOf(service, report.Key)
	if to == r.index {
		r.observeTotal(r.updateKeeper(r.index, message))
		return
	}
	batch := r.batchTo(to, lazyDelay)
	batch.Reports = append(batch.Reports, message)
}

// updateKeeper adds a service report to this router's keeper and returns the
// account's total.
func (r *router) updateKeeper(from int, message *schema.ServiceReport) *schema.ServiceTotal {
	total := r.keeper.Report(r.sim.clock.now(), r.sim.routerIDs[from], 1, share.Report[keeper.Key]{
		Key:        keeper.Key{Service: fleet.ShortID(message.GetService()), Account: fleet.ShortID(message.GetAccount())},
		Cumulative: fleet.Tokens(message.GetCumulative()), Floor: fleet.Tokens(message.GetFloor()),
		Outstanding: fleet.Tokens(message.GetOutstanding()),
	})
	return &schema.ServiceTotal{
		Service: message.GetService(), Account: message.GetAccount(),
		Total: int64(total.Sum), Covered: int64(total.OwnReported),
		Outstanding: uint32(max(total.Outstanding, 0)),
	}
}

// observeTotal passes a keeper's total to the dispatcher.
func (r *router) observeTotal(total *schema.ServiceTotal) {
	r.dispatcher.Observe(fleet.ShortID(total.GetService()), fleet.ShortID(total.GetAccount()), share.Total{
		Sum: fleet.Tokens(total.GetTotal()), OwnReported: fleet.Tokens(total.GetCovered()),
		Outstanding: fleet.Tokens(total.GetOutstanding()),
	})
}

// announceIdleSlots announces idle slots to a few random routers if no request
// waits for them. In small fleets routers ask all dispatchers anyway.
func (r *router) announceIdleSlots() {
	const recipients = 5
	if r.sim.policy.static || len(r.sim.routerIDs) <= fanout.MaxDispatchers {
		return
	}
	all := r.dispatcher.FreeSlots(r.sim.clock.now())
	for service := range serviceNames {
		idle := all[fleet.ShortID(service)]
		if idle == 0 || r.dispatcher.HasWaiting(fleet.ShortID(service)) {
			continue
		}
		for range recipients {
			to := r.sim.random.IntN(len(r.sim.routerIDs))
			if to == r.index {
				continue
			}
			batch := r.batchTo(to, lazyDelay)
			batch.Free = append(batch.Free, &schema.Free{Service: uint32(service), Slots: uint32(idle)})
		}
	}
}
