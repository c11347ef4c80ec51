package diagnosis

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
)

const (
	// activeTime is how long after the latest sign of a crash routers observe which parts are sound.
	activeTime = crashTTL
	// tellInterval is the shortest time between two reports of one part as sound.
	tellInterval = 500 * time.Millisecond
	// questionInterval is the shortest time between two questions about one part, and questionTTL how
	// long it is answered when something new is known.
	questionInterval = time.Second
	questionTTL      = 30 * time.Second
	// probeTime is the time after a verdict in which one request of the fleet that is unlike those under
	// which upstreams ended may be sent. If it is answered, another part was the cause.
	probeTime = 4 * time.Second
	// probeTrial is the number of this trial; those after the term follow.
	probeTrial = 1
	// maxQuestions bounds the parts that are asked about at once.
	maxQuestions = 64
	// maxServices bounds the services whose crashes are remembered.
	maxServices = 64
)

// Tracker finds and refuses causes, together with the Trackers of the other routers. Its zero value is
// ready to use. It is safe for concurrent use.
//
// Each router reports crashes to a few counting routers, which are chosen by the service, and tells them
// which parts are sound if they ask. They broadcast verdicts.
type Tracker struct {
	// activeUntil is the Unix time in nanoseconds until which parts of prompts are observed.
	activeUntil atomic.Int64

	mu       sync.Mutex
	records  map[fleet.ServiceID]*record
	refusals refusals
	// sound is what this router knows of each service's parts, and questions until when each is asked
	// about.
	sound     map[fleet.ServiceID]*soundness
	answers   map[fleet.ServiceID]*answers
	questions map[servicePart]time.Time
	// toldAt is when the counting routers were last told of a part.
	toldAt map[servicePart]time.Time
}

type servicePart struct {
	service fleet.ServiceID
	part    prompt.Part
}

// IsActive reports whether an upstream has crashed recently or a cause is refused. While it isn't,
// nothing has to be recorded or checked. It is cheap.
func (t *Tracker) IsActive(now time.Time) bool { return now.UnixNano() < t.activeUntil.Load() }

// Activate makes the Tracker active for a while from now on.
func (t *Tracker) Activate(now time.Time) { t.ActivateUntil(now.Add(activeTime)) }

// ActivateUntil makes the Tracker active until a time at least.
func (t *Tracker) ActivateUntil(until time.Time) {
	for {
		old := t.activeUntil.Load()
		if until.UnixNano() <= old || t.activeUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// Check tells whether a request may be sent.
type Check struct {
	// Wait is how long the request is refused, zero if it may be sent.
	Wait time.Duration
	// Trials are all the trials that the request needs to be sent.
	Trials []Trial
}

// Trial is a trial of a cause.
type Trial struct {
	Cause  CauseID
	Window int
}

// Check returns whether a request with some parts may be sent.
func (t *Tracker) Check(now time.Time, parts prompt.Parts) Check {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Check
	for _, id := range t.refusals.held(parts) {
		d := t.refusals.terms.Check(now, id)
		switch {
		case d.Trial > 0:
			out.Trials = append(out.Trials, Trial{Cause: id, Window: d.Trial + probeTrial})
		case d.Wait > 0 && t.mayProbe(now, id, parts):
			out.Trials = append(out.Trials, Trial{Cause: id, Window: probeTrial})
		default:
			out.Wait = max(out.Wait, d.Wait)
		}
	}
	slices.SortFunc(out.Trials, func(a, b Trial) int { return cmp.Compare(a.Cause, b.Cause) })
	return out
}

// mayProbe reports whether a request may be the probe of a cause: it is unlike those under which upstreams
// ended, but for the parts of the cause. Without other parts that several of those hold there is no doubt.
func (t *Tracker) mayProbe(now time.Time, id CauseID, parts prompt.Parts) bool {
	cause := t.refusals.causes[id]
	term, known := t.refusals.terms.Find(now, id)
	began := term.Until.Add(-term.Length)
	if !known || len(cause.Beside) == 0 || !term.IsFirst() || now.Sub(began) > probeTime {
		return false
	}
	sound := t.sound[cause.Service]
	return !cause.isBeside(parts, func(p prompt.Part) bool {
		return sound != nil && sound.find(p).since(cause.Late).After(began.Add(-probeTime))
	})
}

// NextTrial returns how long it takes until the next trial window of a cause.
func (t *Tracker) NextTrial(now time.Time, id CauseID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.terms.NextTrial(now, id)
}

// IsSuspected reports whether a request with some parts should not be sent a second time after an
// upstream has crashed.
func (t *Tracker) IsSuspected(now time.Time, parts prompt.Parts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.isSuspected(now, parts)
}

// RecordSound records that an answer to a request of a service has come far, or is whole. It returns what
// the counting routers have to be told.
func (t *Tracker) RecordSound(now time.Time, service fleet.ServiceID, parts prompt.Parts, isWhole bool) []Sound {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.soundOf(service)
	if isWhole {
		t.answersOf(service).add(now)
	}
	var told []Sound
	for _, part := range parts {
		sound := Sound{Part: part, AnsweredAt: now}
		if isWhole {
			sound.CompletedAt = now
		}
		known.add(sound)
		if t.isAsked(now, service, part) && t.mayTell(now, servicePart{service, part}) {
			told = append(told, sound)
		}
	}
	return told
}

// mayTell reports whether a part wasn't reported as sound within tellInterval, and notes that it now
// is.
func (t *Tracker) mayTell(now time.Time, part servicePart) bool {
	if now.Sub(t.toldAt[part]) < tellInterval {
		return false
	}
	if t.toldAt == nil || len(t.toldAt) > maxQuestions*maxServices {
		t.toldAt = make(map[servicePart]time.Time)
	}
	t.toldAt[part] = now
	return true
}

// isAsked reports whether the counting routers want to know of a part.
func (t *Tracker) isAsked(now time.Time, service fleet.ServiceID, part prompt.Part) bool {
	if until, asked := t.questions[servicePart{service, part}]; asked && now.Before(until) {
		return true
	}
	for _, cause := range t.refusals.causes {
		if cause.Service == service && slices.Contains(cause.Parts, part) {
			return true
		}
	}
	return false
}

func (t *Tracker) soundOf(service fleet.ServiceID) *soundness {
	known := t.sound[service]
	if known != nil {
		return known
	}
	if t.sound == nil || len(t.sound) >= maxServices {
		t.sound = make(map[fleet.ServiceID]*soundness)
	}
	known = &soundness{}
	t.sound[service] = known
	return known
}

func (t *Tracker) answersOf(service fleet.ServiceID) *answers {
	known := t.answers[service]
	if known != nil {
		return known
	}
	if t.answers == nil || len(t.answers) >= maxServices {
		t.answers = make(map[fleet.ServiceID]*answers)
	}
	known = &answers{}
	t.answers[service] = known
	return known
}

// Describe completes the report of a crash with what this router knows of the parts.
func (t *Tracker) Describe(now time.Time, crash Crash) Crash {
	t.Activate(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.soundOf(crash.Service)
	whole := t.answersOf(crash.Service)
	crash.AnsweredAt, crash.AnsweredCount = whole.clone(), whole.count
	seen := make(map[prompt.Part]bool)
	for _, run := range crash.Runs {
		for _, part := range run.Parts {
			if sound := known.find(part); !seen[part] && !sound.AnsweredAt.IsZero() {
				crash.Sound = append(crash.Sound, sound)
			}
			seen[part] = true
		}
	}
	return crash
}

// Answer returns what this router knows of the parts in a question, and notes that the counting routers
// want to be told when that changes.
func (t *Tracker) Answer(now time.Time, q Question) []Sound {
	t.Activate(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.questions == nil || len(t.questions) > maxQuestions*maxServices {
		t.questions = make(map[servicePart]time.Time)
	}
	known := t.soundOf(q.Service)
	var out []Sound
	for _, part := range q.Parts {
		t.questions[servicePart{q.Service, part}] = now.Add(questionTTL)
		if sound := known.find(part); !sound.AnsweredAt.IsZero() {
			out = append(out, sound)
		}
	}
	return out
}

// Apply applies the verdict of another router, or of an operator. It returns whether that changed what is refused. A
// verdict from before the cause was withdrawn, by which two routers' messages crossed, changes nothing.
func (t *Tracker) Apply(now time.Time, v Verdict) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(now, v)
}

func (t *Tracker) apply(now time.Time, v Verdict) bool {
	switch v.Status {
	case quarantine.NotSuspected:
		if v.Reason != ReasonNarrowed {
			t.forgive(now, v.Cause)
			t.refusals.recordWithdrawal(now, v.Cause.ID())
		}
		return t.refusals.release(v.Cause.ID())
	case quarantine.Suspected:
		t.Activate(now)
		t.refusals.suspect(now, v.Cause)
		return false
	case quarantine.Refused:
		if t.refusals.wasWithdrawnAfter(v.Cause.ID(), v.Term.Until.Add(-v.Term.Length)) {
			return false
		}
		changed := t.refusals.put(now, v.Cause, v.Term)
		t.extendRefused(now)
		return changed
	default:
		return false
	}
}

// forgive makes earlier crashes tell nothing against the parts of a cause.
func (t *Tracker) forgive(now time.Time, cause Cause) {
	if r := t.records[cause.Service]; r != nil {
		for _, part := range cause.Parts {
			r.sound.add(Sound{Part: part, AnsweredAt: now, CompletedAt: now})
		}
	}
}

// extendRefused keeps the Tracker active as long as something is refused or on probation.
func (t *Tracker) extendRefused(now time.Time) {
	for id := range t.refusals.causes {
		if term, known := t.refusals.terms.Find(now, id); known {
			t.ActivateUntil(term.ProbationEnd())
		}
	}
}

// Refused returns a verdict for each cause that is refused or on probation, for a router that has
// just connected.
func (t *Tracker) Refused(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for id, cause := range t.refusals.causes {
		if term, known := t.refusals.terms.Find(now, id); known {
			out = append(out, Verdict{Cause: cause, Status: quarantine.Refused, Term: term})
		}
	}
	return out
}

// Restore loads persisted entries. It returns the verdicts that operators have lifted, and those that are covered by
// others, to be removed.
func (t *Tracker) Restore(now time.Time, entries []Entry) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var withdrawn []Verdict
	for _, e := range entries {
		if !e.IsLifted {
			t.apply(now, Verdict{Cause: e.Cause, Status: quarantine.Refused, Term: e.Term})
			continue
		}
		v := Verdict{Cause: e.Cause, Reason: ReasonLifted}
		t.apply(now, v)
		withdrawn = append(withdrawn, v) // other routers may refuse what this one has not heard of yet
	}
	for _, e := range entries {
		if !e.IsLifted && t.refusals.isCovered(now, e.Cause) {
			withdrawn = append(withdrawn, Verdict{Cause: e.Cause, Reason: ReasonNarrowed})
		}
	}
	return withdrawn
}

// HasRefusals reports whether any cause is refused or on probation.
func (t *Tracker) HasRefusals() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.refusals.causes) > 0
}
