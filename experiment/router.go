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

// How long messages may wait for others to the same router, and how service
// is exchanged: the values of package scheduler.
const (
	urgentDelay     = time.Millisecond
	releaseDelay    = 3 * time.Millisecond
	lazyDelay       = 100 * time.Millisecond
	exchangeEvery   = 100 * time.Millisecond
	reportThreshold = fleet.Tokens(100)
	tickEvery       = 10 * time.Millisecond
	reviewEvery     = 250 * time.Millisecond
)

// Control bytes besides the messages.
const (
	// frameBytes is the length that goes before each frame.
	frameBytes = 4
	// packetBytes is the TCP and IP header of a frame's packet.
	packetBytes = 40
	// pollBytes is one load report read over HTTP, with its headers.
	pollBytes = 400
	pollEvery = time.Second
	// pollLag is how old a report is when it arrives.
	pollLag = 500 * time.Millisecond
)

// slots is the dispatcher of one router.
type slots = dispatcher.Dispatcher[share.Order[fleet.Number], inflight.Limiter, placement.Policy]

// router is one router of the model: the queues of its callers, a dispatcher
// for the upstreams that fall to it, and a keeper.
type router struct {
	model  *model
	index  int
	id     fleet.RouterID
	slots  *slots
	keeper *keeper.Keeper
	queues []*queue
	// byKey finds the queue of an account and service.
	byKey map[queueKey]*queue
	// through is the highest grant seen of each router's dispatchers.
	through []uint64
	out     []*outgoing
}

// outgoing is the batch that collects for one router.
type outgoing struct {
	batch *schema.Batch
	due   time.Duration
	plan  int
}

func newRouter(m *model, index int) *router {
	r := &router{
		model: m, index: index, id: m.ids[index], keeper: keeper.New(keeper.Options{}),
		byKey: make(map[queueKey]*queue), through: make([]uint64, len(m.ids)),
	}
	r.slots = dispatcher.New(dispatcher.Options[share.Order[fleet.Number], inflight.Limiter, placement.Policy]{
		Order: m.policy.order, Limiter: m.policy.limiter, Placement: m.policy.placement,
		Weight: func(account fleet.Number) uint32 { return m.weight(int(account)) },
		Warmup: !m.policy.static, Nonce: uint16(index),
	})
	for range m.ids {
		r.out = append(r.out, &outgoing{})
	}
	return r
}

// begin starts the router's own work. Routers do it at different instants.
func (r *router) begin() {
	offset := time.Duration(r.index) * 977 * time.Microsecond
	r.model.clock.every(offset, tickEvery, r.widen)
	r.model.clock.every(offset, exchangeEvery, r.exchange)
	r.model.clock.every(offset, reviewEvery, r.review)
}

// to returns the batch for another router, to be sent within delay.
func (r *router) to(router int, delay time.Duration) *schema.Batch {
	out := r.out[router]
	due := r.model.clock.elapsed + delay
	if out.batch == nil {
		out.batch = &schema.Batch{}
		out.due = due + 1
	}
	if due < out.due {
		out.due = due
		out.plan++
		plan := out.plan
		r.model.clock.after(delay, func() {
			if out.plan == plan && out.batch != nil {
				r.send(router)
			}
		})
	}
	return out.batch
}

func (r *router) send(router int) {
	out := r.out[router]
	batch := out.batch
	out.batch = nil
	if len(batch.GetAsks()) > 0 {
		batch.GrantedThrough = r.through[router]
	}

	r.model.control.sent(proto.Size(batch))
	r.model.clock.after(r.model.deployment.delay(r.index, router), func() {
		r.model.routers[router].receive(r.index, batch)
	})
}

// receive takes a batch of another router.
func (r *router) receive(from int, batch *schema.Batch) {
	now := r.model.clock.now()
	id := r.model.ids[from]
	for _, held := range batch.GetHeld() {
		service := r.model.serviceOf(held.GetUpstream())
		r.slots.Held(now, id, fleet.Number(service), held)
	}
	for _, release := range batch.GetReleases() {
		r.slots.Release(now, id, release)
	}
	for _, ask := range batch.GetAsks() {
		r.slots.Ask(now, id, dispatcher.GrantIDOf(batch.GetGrantedThrough(), uint16(r.index)), ask)
	}
	for _, report := range batch.GetReports() {
		total := r.keep(from, report)
		back := r.to(from, lazyDelay)
		back.Totals = append(back.Totals, total)
	}
	for _, total := range batch.GetTotals() {
		r.observe(total)
	}
	for _, free := range batch.GetFree() {
		r.offered(from, int(free.GetService()))
	}
	for _, grant := range batch.GetGrants() {
		r.granted(from, grant)
	}
	r.grant()
}

// grant gives free slots away until none is free or nothing waits.
func (r *router) grant() {
	for {
		grants := r.slots.Grant(r.model.clock.now())
		if len(grants) == 0 {
			return
		}
		for _, g := range grants {
			r.deliver(g)
		}
	}
}

func (r *router) deliver(g dispatcher.Grant) {
	message := &schema.Grant{
		Id: g.ID.Count(), Account: uint32(g.Account), Upstream: uint32(g.Upstream), Begin: g.Begin,
	}
	to := slices.Index(r.model.ids, g.To)
	if to == r.index {
		r.granted(r.index, message)
		return
	}
	batch := r.to(to, urgentDelay)
	batch.Grants = append(batch.Grants, message)
}

// exchange reports service to keepers.
func (r *router) exchange() {
	if r.model.policy.static {
		return
	}
	reports := r.slots.Reports(reportThreshold)
	for service := range services {
		for _, report := range reports[fleet.Number(service)] {
			r.report(service, report)
		}
	}
	r.announce()
	r.slots.Tick(r.model.clock.now())
	r.grant()
}

func (r *router) report(service int, report share.Report[fleet.Number]) {
	message := &schema.ServiceReport{
		Service: uint32(service), Account: uint32(report.Key),
		Cumulative: int64(report.Cumulative), Floor: int64(report.Floor),
		Outstanding: uint32(max(report.Outstanding, 0)),
	}
	to := r.model.keeperOf(service, report.Key)
	if to == r.index {
		r.observe(r.keep(r.index, message))
		return
	}
	batch := r.to(to, lazyDelay)
	batch.Reports = append(batch.Reports, message)
}

func (r *router) keep(from int, message *schema.ServiceReport) *schema.ServiceTotal {
	total := r.keeper.Report(r.model.clock.now(), r.model.ids[from], 1, share.Report[keeper.Key]{
		Key:        keeper.Key{Service: fleet.Number(message.GetService()), Account: fleet.Number(message.GetAccount())},
		Cumulative: fleet.Tokens(message.GetCumulative()), Floor: fleet.Tokens(message.GetFloor()),
		Outstanding: fleet.Tokens(message.GetOutstanding()),
	})
	return &schema.ServiceTotal{
		Service: message.GetService(), Account: message.GetAccount(),
		Total: int64(total.Sum), Covered: int64(total.Covered),
		Outstanding: uint32(max(total.Outstanding, 0)),
	}
}

func (r *router) observe(total *schema.ServiceTotal) {
	r.slots.Observe(fleet.Number(total.GetService()), fleet.Number(total.GetAccount()), share.Total{
		Sum: fleet.Tokens(total.GetTotal()), Covered: fleet.Tokens(total.GetCovered()),
		Outstanding: fleet.Tokens(total.GetOutstanding()),
	})
}

// announce tells some routers of idle slots that nobody here asks for. While
// dispatchers are few, every router asks all of them by itself.
func (r *router) announce() {
	const announceTo = 5
	if r.model.policy.static || len(r.model.ids) <= fanout.Most {
		return
	}
	all := r.slots.Idle(r.model.clock.now())
	for service := range services {
		idle := all[fleet.Number(service)]
		if idle == 0 || r.slots.Unmet(fleet.Number(service)) {
			continue
		}
		for range announceTo {
			to := r.model.random.IntN(len(r.model.ids))
			if to == r.index {
				continue
			}
			batch := r.to(to, lazyDelay)
			batch.Free = append(batch.Free, &schema.Free{Service: uint32(service), Slots: uint32(idle)})
		}
	}
}
