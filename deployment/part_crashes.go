package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/rendezvous"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/timer"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	// decisionDelay is how long after the report of a crash a counting router decides, so that the
	// reports of all routers have arrived.
	decisionDelay = 100 * time.Millisecond
	// maxCrashReports is the number of crashes that a router reports in each reportWindow. More end
	// together in the loss of a data centre, which isn't caused by requests.
	maxCrashReports = 16
	reportWindow    = time.Second
)

// partMonitor detects parts of prompts that crash upstreams, together with the part monitors of the
// other routers. It is a part of the crashMonitor.
type partMonitor struct {
	*crashMonitor
	tracker diagnosis.Tracker
	timer   timer.Service
	// pending holds the services for which a decision is due.
	pending map[fleet.ServiceID]bool
	// reports is the number of crashes reported since windowStart.
	reports     int
	windowStart time.Time
}

// report reports the crash of an upstream to the routers that count those of its service.
func (p *partMonitor) report(service fleet.ServiceID, upstream turn.Instance, broken []brokenRequest) {
	now := time.Now()
	if !p.mayReport(now) {
		p.log.Warn("crash not reported, too many at once", "upstream", upstream.ID)
		return
	}
	crash := diagnosis.Crash{Service: service, Upstream: upstream, At: broken[0].brokenAt, Reporter: p.self}
	for _, b := range broken {
		crash.Runs = append(crash.Runs, diagnosis.Run{Request: b.subject.Request, Parts: b.subject.Parts, SentAt: b.sentAt, Stage: b.stage})
	}
	crash = p.tracker.Describe(now, crash)
	batch := &schema.Batch{UpstreamCrashes: []*schema.UpstreamCrash{encodeUpstreamCrash(now, crash)}}
	for _, router := range p.countingRoutersOf(service) {
		if router == p.self {
			p.count(now, crash)
			continue
		}
		p.send(router, batch)
	}
}

// mayReport counts a crash that is reported, and returns false if there are too many.
func (p *partMonitor) mayReport(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.windowStart) >= reportWindow {
		p.windowStart = now
		p.reports = 0
	}
	p.reports++
	return p.reports <= maxCrashReports
}

// countingRoutersOf returns the routers that count the crashes of a service's upstreams.
func (p *partMonitor) countingRoutersOf(service fleet.ServiceID) []fleet.RouterID {
	ranked := rendezvous.Rank(rendezvous.KeyOf("upstream-crash", string(service)), append(p.otherRouters(), p.self))
	return ranked[:min(len(ranked), countingRoutersPerRequest)]
}

// count counts a reported crash, and decides a little later.
func (p *partMonitor) count(now time.Time, crash diagnosis.Crash) {
	p.tracker.Count(now, crash)
	p.schedule(crash.Service, decisionDelay)
}

// schedule makes this router decide after a delay, unless it will do so anyway.
func (p *partMonitor) schedule(service fleet.ServiceID, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[service] {
		return
	}
	if p.pending == nil {
		p.pending = make(map[fleet.ServiceID]bool)
	}
	p.pending[service] = true
	p.timer.After(delay, func(now time.Time) {
		p.guard.Run(recovery.CrashReport, func() { p.decide(now, service) }, "service", service)
	})
}

// decide tells the other routers what follows from the crashes of a service.
func (p *partMonitor) decide(now time.Time, service fleet.ServiceID) {
	p.mu.Lock()
	delete(p.pending, service)
	p.mu.Unlock()
	decision := p.tracker.Decide(now, service, p.listedUpstreams(service))
	p.broadcastCauses(now, decision.Verdicts)
	for _, suspect := range decision.Suspected {
		p.suspectRequest(now, suspect)
	}
	for _, found := range decision.Repeated {
		if v, refuses := p.crashMonitor.tracker.Refuse(now, found.Request, now.Sub(found.FirstCrash)); refuses {
			p.broadcast(v)
		}
	}
	if decision.IsPending {
		p.schedule(service, diagnosis.AnswerTime)
	}
	if len(decision.Questions) == 0 {
		return
	}
	batch := &schema.Batch{}
	for _, q := range decision.Questions {
		batch.PartQuestions = append(batch.PartQuestions, encodeQuestion(q))
		p.countSound(now, q.Service, p.tracker.Answer(now, q))
	}
	for _, router := range p.otherRouters() {
		p.send(router, batch)
	}
}

// suspectRequest asks the routers to object if they have served a request since the first crash under it.
func (p *partMonitor) suspectRequest(now time.Time, suspect diagnosis.RepeatedRequest) {
	v := quarantine.Verdict{Request: suspect.Request, Status: quarantine.Suspected, FirstCrashAgo: now.Sub(suspect.FirstCrash)}
	if objection, objects, _ := p.crashMonitor.tracker.ApplyVerdict(now, v); objects {
		v = objection
	}
	p.broadcast(v)
}

// broadcastCauses logs and stores verdicts that are already in force here, and sends them to all other
// routers.
func (p *partMonitor) broadcastCauses(now time.Time, verdicts []diagnosis.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	batch := &schema.Batch{}
	for _, v := range verdicts {
		p.logCause(now, v, p.self)
		p.saveCause(v)
		batch.CauseVerdicts = append(batch.CauseVerdicts, encodeCauseVerdict(now, v))
	}
	for _, router := range p.otherRouters() {
		p.send(router, batch)
	}
}

// recordSound records that an answer has come far, or is whole, and tells the counting routers if they want
// to know.
func (p *partMonitor) recordSound(now time.Time, s quarantine.Subject, isWhole bool) {
	p.tellSound(now, s.Service, p.tracker.RecordSound(now, s.Service, s.Parts, isWhole))
}

// tellSound tells the counting routers of a service which parts are sound.
func (p *partMonitor) tellSound(now time.Time, service fleet.ServiceID, sound []diagnosis.Sound) {
	if len(sound) == 0 {
		return
	}
	batch := &schema.Batch{SoundParts: []*schema.SoundParts{encodeSoundParts(now, service, sound)}}
	for _, router := range p.countingRoutersOf(service) {
		if router == p.self {
			p.countSound(now, service, sound)
			continue
		}
		p.send(router, batch)
	}
}

func (p *partMonitor) countSound(now time.Time, service fleet.ServiceID, sound []diagnosis.Sound) {
	p.broadcastCauses(now, p.tracker.CountSound(now, service, sound))
}

// receive handles the messages of another router.
func (p *partMonitor) receive(from fleet.RouterID, batch *schema.Batch) {
	now := time.Now()
	for _, report := range batch.GetUpstreamCrashes() {
		p.count(now, decodeUpstreamCrash(now, from, report))
	}
	for _, sound := range batch.GetSoundParts() {
		p.countSound(now, fleet.ServiceID(sound.GetService()), decodeSoundParts(now, sound.GetParts()))
	}
	for _, received := range batch.GetPartQuestions() {
		q := decodeQuestion(received)
		p.tellSound(now, q.Service, p.tracker.Answer(now, q))
	}
	for _, received := range batch.GetCauseVerdicts() {
		v := decodeCauseVerdict(now, received)
		if p.tracker.Apply(now, v) || v.Status == quarantine.Suspected {
			p.logCause(now, v, from)
		}
	}
}

// sendRefused sends the verdicts on all refused causes to a router that has just connected.
func (p *partMonitor) sendRefused(router fleet.RouterID) {
	now := time.Now()
	batch := &schema.Batch{}
	for _, v := range p.tracker.Refused(now) {
		batch.CauseVerdicts = append(batch.CauseVerdicts, encodeCauseVerdict(now, v))
	}
	if len(batch.GetCauseVerdicts()) > 0 {
		p.send(router, batch)
	}
}

func (p *partMonitor) logCause(now time.Time, v diagnosis.Verdict, from fleet.RouterID) {
	fields := []any{"cause", v.Cause.ID(), "parts", v.Cause.Parts, "service", v.Cause.Service, "late", v.Cause.Late, "from", from}
	switch v.Status {
	case quarantine.Refused:
		p.log.Warn("parts of prompts quarantined", append(fields, "left-s", v.Term.Until.Sub(now).Seconds(), "term-s", v.Term.Length.Seconds())...)
	case quarantine.Suspected:
		p.log.Info("parts of prompts suspected of crashing upstreams", fields...)
	case quarantine.NotSuspected:
		p.log.Info("parts of prompts cleared of crashing upstreams", append(fields, "reason", v.Reason)...)
	}
}
