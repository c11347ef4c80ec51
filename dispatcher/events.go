package dispatcher

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

// Release frees the slot of a grant. An unknown id has no effect: the message was
// repeated, or the grant was removed earlier, for example by Reconcile.
func (d *Dispatcher[O, L, P]) Release(now time.Time, from fleet.RouterID, message *schema.Release) {
	key := grantKey{from, GrantID(message.GetForeignId())}
	if message.GetId() > 0 {
		key.id = NewGrantID(message.GetId(), d.options.Nonce)
	}
	g := d.grants[key]
	if g == nil {
		return
	}
	result := dispatchResult(message.GetResult())
	cost := fleet.Tokens(message.GetCost())
	if result == dispatch.Unused {
		d.dropAsk(g, from)
	}
	d.charge(g, cost)
	if u := d.upstreams[g.upstream]; u != nil && result == dispatch.Answered {
		u.costs.add(cost, now.Sub(g.grantedAt))
	}
	if u := d.upstreams[g.upstream]; u != nil && g.holdsSlot {
		d.recordResult(now, u, g, result, time.Duration(message.GetFirstTokenMs())*time.Millisecond)
	}
	d.removeGrant(key, g)
}

// dropAsk removes the ask that a grant was for, so that the router gets no grants
// until it asks again. Otherwise a router that released a slot unused, because
// its request got one elsewhere, would be granted it over and over.
func (d *Dispatcher[O, L, P]) dropAsk(g *grant, from fleet.RouterID) {
	s := d.service(g.service)
	demand := s.demands[g.account]
	if demand == nil || demand.asks[from] == nil {
		return
	}
	delete(demand.asks, from)
	d.updateBacklog(s, g.account, demand)
}

// charge sets the charged cost of a grant and corrects the account's service.
func (d *Dispatcher[O, L, P]) charge(g *grant, cost fleet.Tokens) {
	if cost != g.charged {
		d.service(g.service).policy.AddService(g.account, cost-g.charged)
	}
	g.charged = cost
}

// recordResult passes the result of a request to the upstream's warm-up and limiter.
func (d *Dispatcher[O, L, P]) recordResult(now time.Time, u *upstream[L], g *grant, result dispatch.Result, firstTokenLatency time.Duration) {
	if result == dispatch.Unused {
		return
	}
	if result == dispatch.Draining && u.drainingSince.IsZero() {
		u.drainingSince = now
	}
	if u.warmup != nil {
		u.warmup.RequestEnded(now, result)
	}
	if result == dispatch.Answered {
		u.recordBegin(g)
	}
	u.limiter.RecordResult(now, inflight.Sample{Result: result, FirstTokenLatency: firstTokenLatency, InFlight: g.inFlightAtStart})
}

// recordBegin counts the beginning of a request's answer, once.
func (u *upstream[L]) recordBegin(g *grant) {
	if u.warmup != nil && !g.answerBegun {
		u.warmup.AnswerBegan()
	}
	g.answerBegun = true
}

// HandleHeld records a router's requests in flight at an upstream. An unknown
// grant, which another dispatcher issued, holds a slot from now on and its cost so
// far is not charged again. For a known grant, any cost not yet charged is charged.
func (d *Dispatcher[O, L, P]) HandleHeld(now time.Time, from fleet.RouterID, service fleet.ShortID, message *schema.Held) {
	accounts, costs := message.GetAccounts(), message.GetCosts()
	for i, id := range message.GetIds() {
		if i >= len(accounts) || i >= len(costs) {
			return
		}
		d.recordHeld(now, grantKey{from, GrantID(id)}, service, grant{
			account: fleet.ShortID(accounts[i]), upstream: fleet.ShortID(message.GetUpstream()),
			charged: fleet.Tokens(costs[i]),
		})
	}
}

// recordHeld records one request of a Held message.
func (d *Dispatcher[O, L, P]) recordHeld(now time.Time, key grantKey, service fleet.ShortID, reported grant) {
	known := d.grants[key]
	if known != nil {
		known.orphanedAt = time.Time{}
		if u := d.upstreams[known.upstream]; u != nil && known.holdsSlot {
			u.recordBegin(known)
		}
		if reported.charged > known.charged {
			d.charge(known, reported.charged)
		}
		return
	}
	reported.grantedAt, reported.service, reported.initialCost = now, service, reported.charged
	d.grants[key] = &reported
	if u := d.upstreams[reported.upstream]; u != nil {
		d.occupySlot(&reported, u)
		reported.inFlightAtStart = u.inFlight
	}
}

// Reconcile removes the grants to a router that are not in ids, which holds all
// that it has in flight from this dispatcher. Either the grant or its release was
// lost, or the router restarted. Grants younger than AckTimeout are kept, since
// they may still be in transit.
func (d *Dispatcher[O, L, P]) Reconcile(now time.Time, from fleet.RouterID, ids map[GrantID]bool) {
	for key, g := range d.grants {
		if key.router == from && !ids[key.id] && g.orphanedAt.IsZero() && now.Sub(g.grantedAt) >= d.options.AckTimeout {
			d.removeGrant(key, g)
		}
	}
}

// HandleConnect handles a new connection of a router. Its earlier asks are dropped.
// Earlier grants that are not in ids never reached the router or have ended, and
// are removed. If the router was restarted, its grants are instead treated as
// those of a lost router, since engines may still run the requests.
func (d *Dispatcher[O, L, P]) HandleConnect(now time.Time, from fleet.RouterID, ids map[GrantID]bool, restarted bool) {
	if restarted {
		d.HandleDisconnect(now, from)
		return
	}
	d.dropAsks(from)
	for key, g := range d.grants {
		if key.router == from && !ids[key.id] {
			d.removeGrant(key, g)
		}
	}
}

// HandleDisconnect handles the loss of a router. Its grants keep their slots until
// the upstream's load report shows that they have ended, at most for Grace: an
// engine continues a stream for a while after its reader has crashed, and a router
// that has only lost its connection to this one still reads its streams.
func (d *Dispatcher[O, L, P]) HandleDisconnect(now time.Time, router fleet.RouterID) {
	d.dropAsks(router)
	for key, g := range d.grants {
		if key.router == router && g.orphanedAt.IsZero() {
			g.orphanedAt = now
		}
	}
}

// dropAsks removes all asks of a router.
func (d *Dispatcher[O, L, P]) dropAsks(router fleet.RouterID) {
	for _, s := range d.services {
		for account, demand := range s.demands {
			if demand.asks[router] != nil {
				delete(demand.asks, router)
				d.updateBacklog(s, account, demand)
			}
		}
	}
}

// Tick charges running requests and frees the slots of lost routers after Grace.
func (d *Dispatcher[O, L, P]) Tick(now time.Time) {
	d.chargeRunning(now)
	for key, g := range d.grants {
		if !g.orphanedAt.IsZero() && now.Sub(g.orphanedAt) >= d.options.Grace {
			d.removeGrant(key, g)
		}
	}
}

// UpdateLoad applies a load report of an upstream.
func (d *Dispatcher[O, L, P]) UpdateLoad(now time.Time, number fleet.ShortID, load inflight.Load) {
	u := d.upstreams[number]
	if u == nil {
		return
	}
	switch {
	case load.Draining && u.drainingSince.IsZero():
		u.drainingSince = now
	case !load.Draining && load.MeasuredAt.After(u.drainingSince):
		u.drainingSince = time.Time{}
	}
	u.limiter.UpdateLoad(now, load, u.inFlight)
	d.freeEndedOrphans(u, load)
}

// freeEndedOrphans frees slots of lost routers whose requests the upstream no
// longer runs. Grants younger than the report are not counted, since it can't
// include them yet.
func (d *Dispatcher[O, L, P]) freeEndedOrphans(u *upstream[L], load inflight.Load) {
	surplus := -load.Running - load.Queued
	var orphans []grantKey
	for key, g := range d.grants {
		if g.upstream != u.number || !g.holdsSlot || !g.grantedAt.Before(load.MeasuredAt) {
			continue
		}
		surplus++
		if !g.orphanedAt.IsZero() && load.MeasuredAt.After(g.orphanedAt) {
			orphans = append(orphans, key)
		}
	}
	for _, key := range orphans[:min(max(0, surplus), len(orphans))] {
		d.removeGrant(key, d.grants[key])
	}
}

// Reports returns, for each service, the reports on accounts whose service here
// changed by more than threshold since their last report. It is empty if the
// share policy does not implement share.Exchange.
func (d *Dispatcher[O, L, P]) Reports(threshold fleet.Tokens) map[fleet.ShortID][]share.Report[fleet.ShortID] {
	reports := make(map[fleet.ShortID][]share.Report[fleet.ShortID])
	for number, s := range d.services {
		exchange, ok := any(s.policy).(share.Exchange[fleet.ShortID])
		if !ok {
			continue
		}
		if due := exchange.Reports(threshold); len(due) > 0 {
			reports[number] = due
		}
	}
	return reports
}

// Observe applies the total that the fleet charged an account for a service.
func (d *Dispatcher[O, L, P]) Observe(service, account fleet.ShortID, total share.Total) {
	s := d.services[service]
	if s == nil {
		return
	}
	if exchange, ok := any(s.policy).(share.Exchange[fleet.ShortID]); ok {
		exchange.Observe(account, total)
	}
}

// MarkReassigned records that an account has a new keeper for a service.
func (d *Dispatcher[O, L, P]) MarkReassigned(service, account fleet.ShortID) {
	s := d.services[service]
	if s == nil {
		return
	}
	if exchange, ok := any(s.policy).(share.Exchange[fleet.ShortID]); ok {
		exchange.MarkReassigned(account)
	}
}

// Forget removes an account that no longer exists.
func (d *Dispatcher[O, L, P]) Forget(account fleet.ShortID) {
	for _, s := range d.services {
		delete(s.demands, account)
		s.policy.Forget(account)
	}
}

// DrainingUpstreams returns the upstreams of this dispatcher that have announced
// that they accept no new requests, in ascending order.
func (d *Dispatcher[O, L, P]) DrainingUpstreams() []fleet.ShortID {
	var draining []fleet.ShortID
	for number, u := range d.upstreams {
		if !u.drainingSince.IsZero() {
			draining = append(draining, number)
		}
	}
	slices.Sort(draining)
	return draining
}
