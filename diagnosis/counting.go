package diagnosis

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
)

// Count adds the report of a crash to this counting router. Decide returns what follows.
func (t *Tracker) Count(now time.Time, crash Crash) {
	t.Activate(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[crash.Service]
	if r == nil {
		if t.records == nil || len(t.records) >= maxServices {
			t.records = make(map[fleet.ServiceID]*record)
		}
		r = &record{}
		t.records[crash.Service] = r
	}
	r.add(now, crash)
}

// CountSound adds what a router knows of the parts of an answer. It returns the verdicts that
// follow.
func (t *Tracker) CountSound(now time.Time, service fleet.ServiceID, sound []Sound) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[service]; r != nil {
		for _, s := range sound {
			r.sound.add(s)
		}
	}
	return t.acquit(now, service, sound)
}

// acquit withdraws or narrows the verdicts on causes whose parts have proved sound since.
func (t *Tracker) acquit(now time.Time, service fleet.ServiceID, sound []Sound) []Verdict {
	var out []Verdict
	for id, cause := range t.refusals.causes {
		term, known := t.refusals.terms.Find(now, id)
		if !known || cause.Service != service {
			continue
		}
		began := term.Until.Add(-term.Length)
		var acquitted prompt.Parts
		for _, s := range sound {
			if s.since(cause.Late).After(began) {
				acquitted = append(acquitted, s.Part)
			}
		}
		rest := cause.without(acquitted)
		if len(rest) == len(cause.Parts) {
			continue
		}
		withdrawn := Verdict{Cause: cause, Reason: ReasonAnswered}
		if len(rest) > 0 {
			withdrawn.Reason = ReasonNarrowed
			out = append(out, Verdict{Cause: NewCause(service, rest, cause.Late), Status: quarantine.Refused, Term: term})
		}
		out = append(out, withdrawn)
	}
	for _, v := range out {
		t.apply(now, v)
	}
	return out
}

// Decide returns what follows from the crashes of a service, which has a number of listed upstreams. It is called a little after
// each, so that all routers have reported it.
func (t *Tracker) Decide(now time.Time, service fleet.ServiceID, listed int) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[service]
	if r == nil {
		return Decision{}
	}
	r.expire(now)
	out := Decision{Verdicts: t.renew(now, r)}
	var asked prompt.Parts
	for _, f := range r.findings(service) {
		asked = append(append(asked, f.Parts...), f.Beside...)
		if f.isCertain && !r.wasAsked(now, f.Parts) {
			f.isCertain = false
			out.IsPending = true
		}
		out.Verdicts = append(out.Verdicts, t.judge(now, f)...)
	}
	repeated, isPending := r.repeated(now, listed)
	out.Suspected, out.Repeated = r.suspectRepeated(now, repeated)
	out.IsPending = out.IsPending || isPending || len(out.Suspected) > 0
	if asked = r.toAsk(now, sortedSet(asked)); len(asked) > 0 {
		out.Questions = append(out.Questions, Question{Service: service, Parts: asked})
	}
	return out
}

// renew starts the next term of the causes under which an upstream has crashed on probation.
func (t *Tracker) renew(now time.Time, r *record) []Verdict {
	var out []Verdict
	for id, cause := range t.refusals.causes {
		term, known := t.refusals.terms.Find(now, id)
		if !known || now.Before(term.Until) || !r.hasCrashUnder(cause, term.Until) {
			continue
		}
		out = append(out, Verdict{Cause: cause, Status: quarantine.Refused, Term: t.refusals.start(now, cause)})
	}
	t.extendRefused(now)
	return out
}

// hasCrashUnder reports whether an upstream has crashed after a time under a request that holds a cause
// and was sent after it.
func (r *record) hasCrashUnder(cause Cause, after time.Time) bool {
	for _, crash := range r.crashes {
		if crash.at.Before(after) {
			continue
		}
		for _, run := range crash.runs {
			if run.SentAt.After(after.Add(-clockSlack)) && cause.IsHeldBy(run.Parts) && (cause.Late || run.Stage < Answering) {
				return true
			}
		}
	}
	return false
}

// judge returns the verdicts on a finding: a cause that isn't refused yet replaces those that it
// covers.
func (t *Tracker) judge(now time.Time, f finding) []Verdict {
	if !f.isCertain {
		return t.suspect(now, f.Cause)
	}
	id := f.ID()
	if _, known := t.refusals.terms.Find(now, id); known || t.refusals.isCovered(now, f.Cause) {
		return nil
	}
	var out []Verdict
	for other, cause := range t.refusals.causes {
		if other != id && f.covers(cause) {
			out = append(out, Verdict{Cause: cause, Reason: ReasonNarrowed})
		}
	}
	out = append(out, Verdict{Cause: f.Cause, Status: quarantine.Refused, Term: t.refusals.start(now, f.Cause)})
	t.extendRefused(now)
	return out
}

// suspect returns a verdict if a cause wasn't suspected before.
func (t *Tracker) suspect(now time.Time, cause Cause) []Verdict {
	_, known := t.refusals.suspects[cause.ID()]
	t.refusals.suspect(now, cause)
	if known {
		return nil
	}
	return []Verdict{{Cause: cause, Status: quarantine.Suspected}}
}

// wasAsked reports whether the other routers have had the time to say that some parts are sound.
func (r *record) wasAsked(now time.Time, parts prompt.Parts) bool {
	for _, part := range parts {
		first, asked := r.firstAskedAt[part]
		if !asked || now.Sub(first) < AnswerTime {
			return false
		}
	}
	return true
}

// toAsk returns the parts that the other routers haven't been asked about lately.
func (r *record) toAsk(now time.Time, parts prompt.Parts) prompt.Parts {
	if r.askedAt == nil || len(r.askedAt) > maxQuestions*maxServices {
		r.askedAt = make(map[prompt.Part]time.Time)
		r.firstAskedAt = make(map[prompt.Part]time.Time)
	}
	parts = slices.DeleteFunc(parts, func(p prompt.Part) bool { return now.Sub(r.askedAt[p]) < questionInterval })
	parts = parts[:min(len(parts), maxQuestions)]
	for _, part := range parts {
		if now.Sub(r.askedAt[part]) > questionTTL {
			r.firstAskedAt[part] = now
		}
		r.askedAt[part] = now
	}
	return parts
}
