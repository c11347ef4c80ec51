package deployment

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// crashCounters is how many routers count the crashes under one request, so that one
// that is cut off or has just started is not alone.
const crashCounters = 3

// checkTimeout bounds a check of whether an upstream can be reached.
const checkTimeout = 400 * time.Millisecond

// checkPauses are the times between two looks at an upstream whose connection broke. One
// that starts again at once can be reached, and is known to have ended by its new entry.
var checkPauses = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second}

// crashes connects this router's watch for requests that crash upstreams with those of
// the other routers.
type crashes struct {
	self    fleet.RouterID
	watch   quarantine.Watch
	routers func() []fleet.RouterID
	send    func(to fleet.RouterID, batch *schema.Batch)
	// entry returns the latest change of an upstream's entry.
	entry func(id fleet.UpstreamID) (registry.Change, bool)
	// check returns an error if an upstream can't be reached.
	check func(ctx context.Context, address string) error
	// keep keeps a verdict of this router at the platform.
	keep func(v quarantine.Verdict)
	log  *slog.Logger
	// guard contains panics; nil lets them pass.
	guard *recovery.Guard

	mu sync.Mutex
	// checked holds the requests that broke at each upstream that is being looked at.
	checked map[turn.Instance][]broken
}

// broken is a request whose upstream ended the connection.
type broken struct {
	request      quarantine.Fingerprint
	began, ended time.Time
}

var _ forward.Quarantine = (*crashes)(nil)

// Refuses returns for how long a request is refused, zero if it isn't.
func (c *crashes) Refuses(now time.Time, request quarantine.Fingerprint) time.Duration {
	return c.watch.Refuses(now, request)
}

// IsOnProbation reports whether a request was refused of late.
func (c *crashes) IsOnProbation(now time.Time, request quarantine.Fingerprint) bool {
	return c.watch.IsOnProbation(now, request)
}

// Served notes that an upstream has answered a request.
func (c *crashes) Served(now time.Time, request quarantine.Fingerprint) {
	if v, some := c.watch.Served(now, request); some {
		c.broadcast(v)
	}
}

// Broken notes that an upstream ended its connection while it ran a request. That is a
// crash only if the upstream has ended: one that is faulty resets connections and lives on.
func (c *crashes) Broken(request quarantine.Fingerprint, upstream registry.Upstream, began time.Time) {
	instance := turn.InstanceOf(upstream)
	c.mu.Lock()
	defer c.mu.Unlock()
	list, looking := c.checked[instance]
	if c.checked == nil {
		c.checked = make(map[turn.Instance][]broken)
	}
	c.checked[instance] = append(list, broken{request: request, began: began, ended: time.Now()})
	if !looking {
		go c.lookGuarded(upstream)
	}
}

// lookGuarded drops what broke at an upstream if looking at it panics, so that it is looked at
// the next time.
func (c *crashes) lookGuarded(upstream registry.Upstream) {
	if c.guard.Run(recovery.Crash, func() { c.look(upstream) }, "upstream", upstream.ID) {
		c.forget(turn.InstanceOf(upstream))
	}
}

// look finds out whether an upstream has ended, and reports the requests that broke there.
func (c *crashes) look(upstream registry.Upstream) {
	instance := turn.InstanceOf(upstream)
	ended := false
	for _, pause := range checkPauses {
		time.Sleep(pause)
		if c.hasLeft(instance) {
			break
		}
		if ended = c.hasEnded(upstream); ended {
			break
		}
	}
	list := c.forget(instance)
	if !ended {
		return
	}
	for _, b := range list {
		c.crashed(b, instance)
	}
}

// forget returns the requests that broke at an upstream, and drops them.
func (c *crashes) forget(instance turn.Instance) []broken {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.checked[instance]
	delete(c.checked, instance)
	return list
}

// hasLeft reports whether an upstream was leaving, which ends connections as well.
func (c *crashes) hasLeft(instance turn.Instance) bool {
	known, some := c.entry(instance.ID)
	return some && known.Upstream.Life == instance.Life && (known.Gone || known.Upstream.Draining)
}

func (c *crashes) hasEnded(upstream registry.Upstream) bool {
	if known, some := c.entry(upstream.ID); some && known.Upstream.Life != upstream.Life {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return c.check(ctx, upstream.Address) != nil
}

// crashed reports a request to the routers that count.
func (c *crashes) crashed(b broken, upstream turn.Instance) {
	now := time.Now()
	report, verdict := c.watch.Crashed(now, quarantine.Crash{
		Request: b.request, Upstream: upstream, Began: now.Sub(b.began), Ended: now.Sub(b.ended),
	})
	if verdict.Standing == quarantine.Refused {
		c.broadcast(verdict)
		return
	}
	batch := &schema.Batch{CrashReports: []*schema.CrashReport{encodeCrash(report)}}
	for _, router := range c.counters(b.request) {
		if router == c.self {
			c.report(now, report)
			continue
		}
		c.send(router, batch)
	}
}

// counters returns the routers that count the crashes under a request.
func (c *crashes) counters(request quarantine.Fingerprint) []fleet.RouterID {
	key := rendezvous.KeyOfNumber("crash", uint64(request))
	ranked := rendezvous.Rank(key, append(c.routers(), c.self))
	return ranked[:min(len(ranked), crashCounters)]
}

func (c *crashes) report(now time.Time, crash quarantine.Crash) {
	if v, some := c.watch.Report(now, crash); some {
		c.broadcast(v)
	}
}

// broadcast tells all other routers a verdict that holds here already.
func (c *crashes) broadcast(v quarantine.Verdict) {
	c.note(v, c.self)
	c.keep(v)
	batch := &schema.Batch{RequestVerdicts: []*schema.RequestVerdict{encodeVerdict(v)}}
	for _, router := range c.routers() {
		c.send(router, batch)
	}
}

// receive handles the reports and verdicts of another router.
func (c *crashes) receive(from fleet.RouterID, batch *schema.Batch) {
	now := time.Now()
	for _, report := range batch.GetCrashReports() {
		c.report(now, decodeCrash(report))
	}
	for _, received := range batch.GetRequestVerdicts() {
		v := decodeVerdict(received)
		objection, objects, changed := c.watch.Receive(now, v)
		switch {
		case objects:
			c.broadcast(objection)
		case changed:
			c.note(v, from)
		}
	}
}

// greet tells a router that has just connected what is refused.
func (c *crashes) greet(router fleet.RouterID) {
	batch := &schema.Batch{}
	for _, v := range c.watch.Refused(time.Now()) {
		batch.RequestVerdicts = append(batch.RequestVerdicts, encodeVerdict(v))
	}
	if len(batch.GetRequestVerdicts()) > 0 {
		c.send(router, batch)
	}
}

func (c *crashes) note(v quarantine.Verdict, from fleet.RouterID) {
	switch v.Standing {
	case quarantine.Refused:
		c.log.Warn("request quarantined", "fingerprint", v.Request, "from", from, "left-s", v.Left.Seconds(), "first-crash-ms", v.Since.Milliseconds())
	case quarantine.Suspected:
		c.log.Info("request suspected of crashing upstreams", "fingerprint", v.Request, "from", from, "first-crash-ms", v.Since.Milliseconds())
	case quarantine.Unremarkable:
		c.log.Info("request cleared of crashing upstreams", "fingerprint", v.Request, "from", from)
	}
}

func encodeCrash(c quarantine.Crash) *schema.CrashReport {
	return &schema.CrashReport{
		Request:  uint64(c.Request),
		Upstream: turn.EncodeInstance(c.Upstream),
		BeganMs:  schema.Millis(c.Began), EndedMs: schema.Millis(c.Ended),
		Served: c.Served > 0, ServedMs: schema.Millis(c.Served),
	}
}

func decodeCrash(in *schema.CrashReport) quarantine.Crash {
	out := quarantine.Crash{
		Request:  quarantine.Fingerprint(in.GetRequest()),
		Upstream: turn.DecodeInstance(in.GetUpstream()),
		Began:    schema.Duration(in.GetBeganMs()), Ended: schema.Duration(in.GetEndedMs()),
	}
	if in.GetServed() {
		out.Served = max(schema.Duration(in.GetServedMs()), time.Millisecond)
	}
	return out
}

func encodeVerdict(v quarantine.Verdict) *schema.RequestVerdict {
	return &schema.RequestVerdict{
		Request: uint64(v.Request), Standing: uint32(v.Standing), SinceMs: schema.Millis(v.Since),
		TermMs: schema.Millis(v.Term), LeftMs: schema.Millis(v.Left),
	}
}

func decodeVerdict(in *schema.RequestVerdict) quarantine.Verdict {
	return quarantine.Verdict{
		Request: quarantine.Fingerprint(in.GetRequest()), Standing: quarantine.Standing(in.GetStanding()),
		Since: schema.Duration(in.GetSinceMs()), Term: schema.Duration(in.GetTermMs()), Left: schema.Duration(in.GetLeftMs()),
	}
}
