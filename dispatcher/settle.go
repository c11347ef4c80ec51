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

// Release takes a slot back. An id that is not known, because the message is
// a repeated one or the grant was given up, has no effect.
func (d *Dispatcher[O, L, P]) Release(now time.Time, from fleet.RouterID, message *schema.Release) {
	key := grantKey{from, GrantID(message.GetForeignId())}
	if message.GetId() > 0 {
		key.id = GrantIDOf(message.GetId(), d.options.Nonce)
	}
	g := d.grants[key]
	if g == nil {
		return
	}
	result := resultOf(message.GetResult())
	cost := fleet.Tokens(message.GetCost())
	if result == dispatch.Unused {
		d.withdrawAsk(g, from)
	}
	d.charge(g, cost)
	if u := d.upstreams[g.upstream]; u != nil && result == dispatch.Answered {
		u.speed.add(cost, now.Sub(g.at))
	}
	if u := d.upstreams[g.upstream]; u != nil && g.counted {
		d.evidence(now, u, g, result, time.Duration(message.GetFirstTokenMs())*time.Millisecond)
	}
	d.remove(key, g)
}

// withdrawAsk stops granting to a router that gave a slot back unused until
// it asks again. Otherwise a router that has no use for a slot, because its
// work went elsewhere, would be granted it over and over.
func (d *Dispatcher[O, L, P]) withdrawAsk(g *grant, from fleet.RouterID) {
	s := d.service(g.service)
	w := s.demands[g.account]
	if w == nil || w.asks[from] == nil {
		return
	}
	delete(w.asks, from)
	d.update(s, g.account, w)
}

func (d *Dispatcher[O, L, P]) charge(g *grant, cost fleet.Tokens) {
	if cost != g.charged {
		d.service(g.service).order.Correct(g.account, cost-g.charged)
	}
	g.charged = cost
}

func (d *Dispatcher[O, L, P]) evidence(now time.Time, u *upstream[L], g *grant, result dispatch.Result, firstToken time.Duration) {
	if result == dispatch.Unused {
		return
	}
	if result == dispatch.Draining && u.draining.IsZero() {
		u.draining = now
	}
	if u.ramp != nil {
		u.ramp.Ended(now, result)
	}
	if result == dispatch.Answered {
		u.began(g)
	}
	u.limiter.Ended(now, inflight.Sample{Result: result, FirstToken: firstToken, InFlight: g.sentWith})
}

// began takes note that a request's answer began.
func (u *upstream[L]) began(g *grant) {
	if u.ramp != nil && !g.begun {
		u.ramp.Began()
	}
	g.begun = true
}

// Held takes what a router has in flight at an upstream. A grant that is not
// known, because another dispatcher gave it, takes a slot from now on. It is
// not charged again; costs above what was charged are.
func (d *Dispatcher[O, L, P]) Held(now time.Time, from fleet.RouterID, service fleet.Number, message *schema.Held) {
	accounts, costs := message.GetAccounts(), message.GetCosts()
	for i, id := range message.GetIds() {
		if i >= len(accounts) || i >= len(costs) {
			return
		}
		d.held(now, grantKey{from, GrantID(id)}, service, grant{
			account: fleet.Number(accounts[i]), upstream: fleet.Number(message.GetUpstream()),
			charged: fleet.Tokens(costs[i]),
		})
	}
}

func (d *Dispatcher[O, L, P]) held(now time.Time, key grantKey, service fleet.Number, told grant) {
	known := d.grants[key]
	if known != nil {
		known.orphaned = time.Time{}
		if u := d.upstreams[known.upstream]; u != nil && known.counted {
			u.began(known)
		}
		if told.charged > known.charged {
			d.charge(known, told.charged)
		}
		return
	}
	told.at, told.service, told.told = now, service, told.charged
	d.grants[key] = &told
	if u := d.upstreams[told.upstream]; u != nil {
		d.count(&told, u)
		told.sentWith = u.inFlight
	}
}

// Complete takes the ids of all that a router has in flight of this
// dispatcher. Other grants to it are gone: the grant or its release was lost,
// or the router restarted. Those younger than AckWait may still be on their
// way and are kept.
func (d *Dispatcher[O, L, P]) Complete(now time.Time, from fleet.RouterID, ids map[GrantID]bool) {
	for key, g := range d.grants {
		if key.router == from && !ids[key.id] && g.orphaned.IsZero() && now.Sub(g.at) >= d.options.AckWait {
			d.remove(key, g)
		}
	}
}

// Connected takes note that a router begins anew with a connection: what was
// granted to it on an earlier connection and is not in ids never reached it,
// or ended, and its asks are void. When the router itself was restarted, its
// grants stand as those of a lost router: engines may still run them.
func (d *Dispatcher[O, L, P]) Connected(now time.Time, from fleet.RouterID, ids map[GrantID]bool, restarted bool) {
	if restarted {
		d.Gone(now, from)
		return
	}
	d.forgetAsks(from)
	for key, g := range d.grants {
		if key.router == from && !ids[key.id] {
			d.remove(key, g)
		}
	}
}

// Gone takes note that a router is lost. Its grants keep their slots until the
// upstream's own report shows them ended, or for Grace: the engine goes on
// with a stream for a while after its reader died, and a router that was only
// cut off from here still reads it.
func (d *Dispatcher[O, L, P]) Gone(now time.Time, router fleet.RouterID) {
	d.forgetAsks(router)
	for key, g := range d.grants {
		if key.router == router && g.orphaned.IsZero() {
			g.orphaned = now
		}
	}
}

func (d *Dispatcher[O, L, P]) forgetAsks(router fleet.RouterID) {
	for _, s := range d.services {
		for account, w := range s.demands {
			if w.asks[router] != nil {
				delete(w.asks, router)
				d.update(s, account, w)
			}
		}
	}
}

// Tick reclaims the slots of lost routers after Grace.
func (d *Dispatcher[O, L, P]) Tick(now time.Time) {
	d.advance(now)
	for key, g := range d.grants {
		if !g.orphaned.IsZero() && now.Sub(g.orphaned) >= d.options.Grace {
			d.remove(key, g)
		}
	}
}

// Reported takes an upstream's own report of its load.
func (d *Dispatcher[O, L, P]) Reported(now time.Time, number fleet.Number, load inflight.Load) {
	u := d.upstreams[number]
	if u == nil {
		return
	}
	switch {
	case load.Draining && u.draining.IsZero():
		u.draining = now
	case !load.Draining && load.At.After(u.draining):
		u.draining = time.Time{}
	}
	u.limiter.Reported(now, load, u.inFlight)
	d.reclaim(u, load)
}

// reclaim frees the slots of lost routers that the upstream no longer runs.
// Grants younger than the report are left out: it can't show them yet.
func (d *Dispatcher[O, L, P]) reclaim(u *upstream[L], load inflight.Load) {
	surplus := -load.Running - load.Queued
	var orphans []grantKey
	for key, g := range d.grants {
		if g.upstream != u.number || !g.counted || !g.at.Before(load.At) {
			continue
		}
		surplus++
		if !g.orphaned.IsZero() && load.At.After(g.orphaned) {
			orphans = append(orphans, key)
		}
	}
	for _, key := range orphans[:min(max(0, surplus), len(orphans))] {
		d.remove(key, d.grants[key])
	}
}

// Reports returns what was charged here for each service and account of which
// more than threshold was charged since it was last returned. It is empty
// when the order exchanges nothing.
func (d *Dispatcher[O, L, P]) Reports(threshold fleet.Tokens) map[fleet.Number][]share.Report[fleet.Number] {
	reports := make(map[fleet.Number][]share.Report[fleet.Number])
	for number, s := range d.services {
		exchange, ok := any(s.order).(share.Exchange[fleet.Number])
		if !ok {
			continue
		}
		if due := exchange.Reports(threshold); len(due) > 0 {
			reports[number] = due
		}
	}
	return reports
}

// Observe takes what the whole fleet charged an account of a service.
func (d *Dispatcher[O, L, P]) Observe(service, account fleet.Number, total share.Total) {
	s := d.services[service]
	if s == nil {
		return
	}
	if exchange, ok := any(s.order).(share.Exchange[fleet.Number]); ok {
		exchange.Observe(account, total)
	}
}

// Reassigned says that an account's use of a service has another keeper.
func (d *Dispatcher[O, L, P]) Reassigned(service, account fleet.Number) {
	s := d.services[service]
	if s == nil {
		return
	}
	if exchange, ok := any(s.order).(share.Exchange[fleet.Number]); ok {
		exchange.Reassigned(account)
	}
}

// Forget drops what is known of accounts that were withdrawn.
func (d *Dispatcher[O, L, P]) Forget(account fleet.Number) {
	for _, s := range d.services {
		delete(s.demands, account)
		s.order.Forget(account)
	}
}

// Draining returns the upstreams of this dispatcher that said that they take
// no new work, in order.
func (d *Dispatcher[O, L, P]) Draining() []fleet.Number {
	var draining []fleet.Number
	for number, u := range d.upstreams {
		if !u.draining.IsZero() {
			draining = append(draining, number)
		}
	}
	slices.Sort(draining)
	return draining
}
