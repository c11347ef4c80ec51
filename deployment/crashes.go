package deployment

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// countingRoutersPerRequest is the number of routers that count the crashes under one request. It
// is above one because a counting router may be disconnected or have just started.
const countingRoutersPerRequest = 3

// checkTimeout bounds a check of whether an upstream can be reached.
const checkTimeout = 400 * time.Millisecond

// socketCloseTime is the time in which a process that ends closes all its sockets.
const socketCloseTime = 10 * time.Millisecond

// checkDelays are the pauses before each check of an upstream whose connection broke. An
// upstream that restarts at once can be reached; its new entry shows that it crashed.
var checkDelays = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second}

// crashMonitor detects requests that crash upstreams, together with the crash monitors of the
// other routers.
type crashMonitor struct {
	self    fleet.RouterID
	tracker quarantine.Tracker
	// otherRouters returns the other routers that are connected.
	otherRouters func() []fleet.RouterID
	send         func(to fleet.RouterID, batch *schema.Batch)
	// upstreamEntry returns the latest change of an upstream's entry, and listedUpstreams the number of a service's upstreams.
	upstreamEntry   func(id fleet.UpstreamID) (registry.Change, bool)
	listedUpstreams func(service fleet.ServiceID) int
	// checkReachable returns an error if an upstream can't be reached.
	checkReachable func(ctx context.Context, address string) error
	// checkProcess also returns an error if the process at the address started at another time.
	checkProcess func(ctx context.Context, address string, startTime registry.StartTime) error
	// saveVerdict stores a verdict of this router at the platform.
	saveVerdict func(v quarantine.Verdict)
	log         *slog.Logger
	// guard recovers from panics; nil lets them propagate.
	guard *recovery.Guard

	// parts detects parts of prompts that crash upstreams.
	parts partMonitor
	// trials grants the trials of what was refused.
	trials trialGranter
	// saveCause stores a verdict on parts of prompts at the platform.
	saveCause func(v diagnosis.Verdict)

	mu sync.Mutex
	// pendingChecks holds the broken requests of each upstream that is being checked.
	pendingChecks map[turn.Instance][]brokenRequest
}

// brokenRequest is a request whose upstream closed the connection while it ran the request.
type brokenRequest struct {
	subject          quarantine.Subject
	sentAt, brokenAt time.Time
	stage            diagnosis.Stage
}

var _ forward.Quarantine = (*crashMonitor)(nil)

// IsActive reports whether an upstream has crashed lately, or anything is refused.
func (c *crashMonitor) IsActive(now time.Time) bool { return c.parts.tracker.IsActive(now) }

// RefusedFor returns how long a request will still be refused, zero if it isn't refused or may be
// sent as a trial.
func (c *crashMonitor) RefusedFor(now time.Time, s quarantine.Subject) time.Duration {
	request := c.tracker.Check(now, s.Request)
	causes := c.parts.tracker.Check(now, s.Parts)
	wait := max(request.Wait, causes.Wait)
	if request.Trial > 0 && c.trials.wasAsked(now, uint64(s.Request), request.Trial) {
		wait = max(wait, c.tracker.NextTrial(now, s.Request))
	}
	for _, trial := range causes.Trials {
		if c.trials.wasAsked(now, uint64(trial.Cause), trial.Window) {
			wait = max(wait, c.parts.tracker.NextTrial(now, trial.Cause))
		}
	}
	return wait
}

// Admit is RefusedFor for a request that is sent if the result is zero.
func (c *crashMonitor) Admit(ctx context.Context, now time.Time, s quarantine.Subject) time.Duration {
	request := c.tracker.Check(now, s.Request)
	causes := c.parts.tracker.Check(now, s.Parts)
	if wait := max(request.Wait, causes.Wait); wait > 0 {
		return wait
	}
	if request.Trial > 0 && !c.trials.ask(ctx, now, uint64(s.Request), request.Trial) {
		return c.tracker.NextTrial(now, s.Request)
	}
	for _, trial := range causes.Trials {
		if !c.trials.ask(ctx, now, uint64(trial.Cause), trial.Window) {
			return c.parts.tracker.NextTrial(now, trial.Cause)
		}
	}
	return 0
}

// IsSuspected reports whether a request isn't sent again after a broken connection.
func (c *crashMonitor) IsSuspected(now time.Time, s quarantine.Subject) bool {
	return c.tracker.IsOnProbation(now, s.Request) || c.parts.tracker.IsSuspected(now, s.Parts)
}

// RecordServed records that an upstream has answered a request.
func (c *crashMonitor) RecordServed(now time.Time, s quarantine.Subject) {
	if v, ok := c.tracker.RecordServed(now, s.Request); ok {
		c.broadcast(v)
	}
}

// RecordSound records that an answer to a request has come far, or is whole.
func (c *crashMonitor) RecordSound(now time.Time, s quarantine.Subject, isWhole bool) {
	c.parts.recordSound(now, s, isWhole)
}

// RecordBroken records that an upstream closed its connection while it ran a request. That is a
// crash only if the upstream's process has ended: a faulty upstream may reset connections and
// keep running.
func (c *crashMonitor) RecordBroken(b forward.BrokenRequest) {
	instance := turn.InstanceOf(b.Upstream)
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, checking := c.pendingChecks[instance]
	if c.pendingChecks == nil {
		c.pendingChecks = make(map[turn.Instance][]brokenRequest)
	}
	c.pendingChecks[instance] = append(requests, brokenRequest{subject: b.Subject, sentAt: b.SentAt, brokenAt: time.Now(), stage: b.Stage})
	if !checking {
		go c.checkUpstreamGuarded(b.Upstream)
	}
}

// HasEnded reports whether an upstream's process has ended. One that drains may end in the middle of an answer, too.
func (c *crashMonitor) HasEnded(ctx context.Context, upstream registry.Upstream, isLate bool) bool {
	select {
	case <-time.After(socketCloseTime):
	case <-ctx.Done():
	}
	if isLate {
		return c.checkProcess(ctx, upstream.Address, upstream.StartTime) != nil
	}
	return c.isDownOrRestarted(ctx, upstream)
}

// checkUpstreamGuarded runs checkUpstream. After a panic it drops the upstream's pending check,
// so that the next broken request starts a new one.
func (c *crashMonitor) checkUpstreamGuarded(upstream registry.Upstream) {
	if c.guard.Run(recovery.CrashReport, func() { c.checkUpstream(upstream) }, "upstream", upstream.ID) {
		c.takePendingCheck(turn.InstanceOf(upstream))
	}
}

// checkUpstream finds out whether an upstream has crashed, and if so reports its broken requests.
func (c *crashMonitor) checkUpstream(upstream registry.Upstream) {
	instance := turn.InstanceOf(upstream)
	crashed := false
	for _, delay := range checkDelays {
		time.Sleep(delay)
		if c.isLeaving(instance) {
			break
		}
		if crashed = c.isDownOrRestarted(context.Background(), upstream); crashed {
			break
		}
	}
	requests := c.takePendingCheck(instance)
	if !crashed {
		return
	}
	c.log.Warn("upstream ended while it ran requests", "upstream", instance.ID, "life", instance.StartTime, "requests", len(requests))
	c.parts.tracker.Activate(time.Now())
	c.parts.report(upstream.Service, instance, requests)
	for _, b := range requests {
		c.reportCrash(b, instance)
	}
}

// takePendingCheck removes and returns the broken requests of an upstream.
func (c *crashMonitor) takePendingCheck(instance turn.Instance) []brokenRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.pendingChecks[instance]
	delete(c.pendingChecks, instance)
	return requests
}

// isLeaving reports whether an upstream is draining or has been removed. Then it closes
// connections without a crash.
func (c *crashMonitor) isLeaving(instance turn.Instance) bool {
	known, ok := c.upstreamEntry(instance.ID)
	return ok && known.Upstream.StartTime == instance.StartTime && (known.Removed || known.Upstream.Draining)
}

// isDownOrRestarted reports whether an upstream can't be reached or has restarted.
func (c *crashMonitor) isDownOrRestarted(ctx context.Context, upstream registry.Upstream) bool {
	if known, ok := c.upstreamEntry(upstream.ID); ok && known.Upstream.StartTime != upstream.StartTime {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return c.checkReachable(ctx, upstream.Address) != nil
}

// reportCrash reports a crash under a request to the routers that count its crashes.
func (c *crashMonitor) reportCrash(b brokenRequest, upstream turn.Instance) {
	now := time.Now()
	report, verdict := c.tracker.RecordCrash(now, quarantine.Crash{
		Request: b.subject.Request, Upstream: upstream, StartedAgo: now.Sub(b.sentAt), CrashedAgo: now.Sub(b.brokenAt),
	})
	if verdict.Status == quarantine.Refused {
		c.broadcast(verdict)
		return
	}
	batch := &schema.Batch{CrashReports: []*schema.CrashReport{encodeCrash(report)}}
	for _, router := range c.countingRouters(b.subject.Request) {
		if router == c.self {
			c.countCrash(now, report)
			continue
		}
		c.send(router, batch)
	}
}

// countingRouters returns the routers that count the crashes under a request, chosen by
// rendezvous hashing.
func (c *crashMonitor) countingRouters(request quarantine.Fingerprint) []fleet.RouterID {
	key := rendezvous.KeyOfNumber("crash", uint64(request))
	ranked := rendezvous.Rank(key, append(c.otherRouters(), c.self))
	return ranked[:min(len(ranked), countingRoutersPerRequest)]
}

// countCrash counts a reported crash, and broadcasts the verdict if there is one.
func (c *crashMonitor) countCrash(now time.Time, crash quarantine.Crash) {
	if v, ok := c.tracker.CountCrash(now, crash); ok {
		c.broadcast(v)
	}
}

// broadcast logs and stores a verdict that is already in force here, and sends it to all other
// routers.
func (c *crashMonitor) broadcast(v quarantine.Verdict) {
	c.logVerdict(v, c.self)
	c.saveVerdict(v)
	c.activate(time.Now(), v)
	batch := &schema.Batch{RequestVerdicts: []*schema.RequestVerdict{encodeVerdict(v)}}
	for _, router := range c.otherRouters() {
		c.send(router, batch)
	}
}

// activate makes this router record which requests are served, as long as a verdict counts. Earlier crashes no longer tell against a
// request that is cleared.
func (c *crashMonitor) activate(now time.Time, v quarantine.Verdict) {
	c.parts.tracker.Activate(now)
	if v.Status == quarantine.NotSuspected {
		c.parts.tracker.ClearRequest(now, v.Request)
	}
	if v.Status == quarantine.Refused {
		c.parts.tracker.ActivateUntil(quarantine.Term{Until: now.Add(v.Remaining)}.ProbationEnd())
	}
}

// restore loads stored entries, and tells the other routers what an operator has lifted.
func (c *crashMonitor) restore(now time.Time, requests []quarantine.Entry, causes []diagnosis.Entry) {
	c.tracker.Restore(now, requests)
	for _, e := range requests {
		c.parts.tracker.ActivateUntil(quarantine.Term{Until: e.Until}.ProbationEnd())
	}
	c.parts.broadcastCauses(now, c.parts.tracker.Restore(now, causes))
}

// receive handles the crash reports and verdicts of another router.
func (c *crashMonitor) receive(from fleet.RouterID, batch *schema.Batch) {
	now := time.Now()
	c.parts.receive(from, batch)
	for _, report := range batch.GetCrashReports() {
		c.parts.tracker.Activate(now)
		c.countCrash(now, decodeCrash(report))
	}
	for _, received := range batch.GetRequestVerdicts() {
		v := decodeVerdict(received)
		c.activate(now, v)
		objection, objects, changed := c.tracker.ApplyVerdict(now, v)
		switch {
		case objects:
			c.broadcast(objection)
		case changed:
			c.logVerdict(v, from)
		}
	}
}

// sendRefusedRequests sends the verdicts on all refused requests to a router that has just
// connected.
func (c *crashMonitor) sendRefusedRequests(router fleet.RouterID) {
	c.parts.sendRefused(router)
	batch := &schema.Batch{}
	for _, v := range c.tracker.ActiveVerdicts(time.Now()) {
		batch.RequestVerdicts = append(batch.RequestVerdicts, encodeVerdict(v))
	}
	if len(batch.GetRequestVerdicts()) > 0 {
		c.send(router, batch)
	}
}

func (c *crashMonitor) logVerdict(v quarantine.Verdict, from fleet.RouterID) {
	switch v.Status {
	case quarantine.Refused:
		c.log.Warn("request quarantined", "fingerprint", v.Request, "from", from, "left-s", v.Remaining.Seconds(), "first-crash-ms", v.FirstCrashAgo.Milliseconds())
	case quarantine.Suspected:
		c.log.Info("request suspected of crashing upstreams", "fingerprint", v.Request, "from", from, "first-crash-ms", v.FirstCrashAgo.Milliseconds())
	case quarantine.NotSuspected:
		c.log.Info("request cleared of crashing upstreams", "fingerprint", v.Request, "from", from)
	}
}

func encodeCrash(c quarantine.Crash) *schema.CrashReport {
	return &schema.CrashReport{
		Request:  uint64(c.Request),
		Upstream: turn.EncodeInstance(c.Upstream),
		BeganMs:  schema.Millis(c.StartedAgo), EndedMs: schema.Millis(c.CrashedAgo),
		Served: c.ServedAgo > 0, ServedMs: schema.Millis(c.ServedAgo),
	}
}

func decodeCrash(in *schema.CrashReport) quarantine.Crash {
	out := quarantine.Crash{
		Request:    quarantine.Fingerprint(in.GetRequest()),
		Upstream:   turn.DecodeInstance(in.GetUpstream()),
		StartedAgo: schema.Duration(in.GetBeganMs()), CrashedAgo: schema.Duration(in.GetEndedMs()),
	}
	if in.GetServed() {
		out.ServedAgo = max(schema.Duration(in.GetServedMs()), time.Millisecond)
	}
	return out
}

func encodeVerdict(v quarantine.Verdict) *schema.RequestVerdict {
	return &schema.RequestVerdict{
		Request: uint64(v.Request), Standing: uint32(v.Status), SinceMs: schema.Millis(v.FirstCrashAgo),
		TermMs: schema.Millis(v.Term), LeftMs: schema.Millis(v.Remaining),
	}
}

func decodeVerdict(in *schema.RequestVerdict) quarantine.Verdict {
	return quarantine.Verdict{
		Request: quarantine.Fingerprint(in.GetRequest()), Status: quarantine.Status(in.GetStanding()),
		FirstCrashAgo: schema.Duration(in.GetSinceMs()), Term: schema.Duration(in.GetTermMs()), Remaining: schema.Duration(in.GetLeftMs()),
	}
}
