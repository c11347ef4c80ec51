package diagnosis

import (
	"time"

	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
)

// refusals holds the causes that are refused or on probation. Its zero value is empty.
type refusals struct {
	terms  quarantine.Terms[CauseID]
	causes map[CauseID]Cause
	// byPart holds the causes by the first of their parts.
	byPart map[prompt.Part][]CauseID
	// suspects are not refused, but neither repeated after a crash.
	suspects map[CauseID]suspect
	// withdrawnAt holds when the verdicts on causes were withdrawn.
	withdrawnAt map[CauseID]time.Time
}

// suspect is a cause that is suspected until a time.
type suspect struct {
	cause Cause
	until time.Time
}

const (
	// suspectTTL is how long a cause is suspected after the latest sign.
	suspectTTL = 10 * time.Second
	// maxSuspects is the maximum number of suspected causes.
	maxSuspects = 256
	// maxWithdrawals is the maximum number of withdrawals that are remembered.
	maxWithdrawals = 1024
	// withdrawalSlack is the time after a withdrawal in which a term may seem to begin that began before it:
	// messages take a while, and a new verdict needs new crashes.
	withdrawalSlack = AnswerTime
)

// put refuses a cause for a term. It returns false if it already is for as long, or if another cause
// covers it. Causes that it covers are refused no longer by themselves, so that they have no trials of their own.
func (r *refusals) put(now time.Time, cause Cause, term quarantine.Term) bool {
	id := cause.ID()
	if len(cause.Parts) == 0 || r.isCovered(now, cause) || !r.terms.Put(now, id, term) {
		return false
	}
	r.sweep(now)
	for other, covered := range r.causes {
		if other != id && cause.covers(covered) {
			r.release(other)
		}
	}
	if _, known := r.causes[id]; known {
		r.causes[id] = cause
		return true
	}
	if r.causes == nil {
		r.causes = make(map[CauseID]Cause)
		r.byPart = make(map[prompt.Part][]CauseID)
	}
	r.causes[id] = cause
	r.byPart[cause.Parts[0]] = append(r.byPart[cause.Parts[0]], id)
	return true
}

// isCovered reports whether another cause that is refused or on probation covers a cause.
func (r *refusals) isCovered(now time.Time, cause Cause) bool {
	id := cause.ID()
	for other, refused := range r.causes {
		if _, known := r.terms.Find(now, other); known && other != id && refused.covers(cause) {
			return true
		}
	}
	return false
}

// start refuses a cause for its next term.
func (r *refusals) start(now time.Time, cause Cause) quarantine.Term {
	id := cause.ID()
	term := r.terms.Start(now, id)
	r.terms.Release(id) // put stores the term again, with the cause
	r.put(now, cause, term)
	return term
}

// release removes a cause. It returns false if it wasn't refused or on probation.
func (r *refusals) release(id CauseID) bool {
	delete(r.suspects, id)
	cause, known := r.causes[id]
	if !known {
		return false
	}
	delete(r.causes, id)
	first := cause.Parts[0]
	var rest []CauseID
	for _, other := range r.byPart[first] {
		if other != id {
			rest = append(rest, other)
		}
	}
	delete(r.byPart, first)
	if len(rest) > 0 {
		r.byPart[first] = rest
	}
	return r.terms.Release(id)
}

// recordWithdrawal records that the verdict on a cause was withdrawn.
func (r *refusals) recordWithdrawal(now time.Time, id CauseID) {
	if r.withdrawnAt == nil || len(r.withdrawnAt) >= maxWithdrawals {
		r.withdrawnAt = make(map[CauseID]time.Time)
	}
	r.withdrawnAt[id] = now
}

// wasWithdrawnAfter reports whether the verdict on a cause was withdrawn after its term began.
func (r *refusals) wasWithdrawnAfter(id CauseID, began time.Time) bool {
	at, known := r.withdrawnAt[id]
	return known && began.Before(at.Add(withdrawalSlack))
}

// sweep removes the causes whose terms were dropped.
func (r *refusals) sweep(now time.Time) {
	for id := range r.causes {
		if _, known := r.terms.Find(now, id); !known {
			r.release(id)
		}
	}
}

// held returns the refused causes that a request with some parts holds.
func (r *refusals) held(parts prompt.Parts) []CauseID {
	var out []CauseID
	for _, part := range parts {
		for _, id := range r.byPart[part] {
			if r.causes[id].IsHeldBy(parts) {
				out = append(out, id)
			}
		}
	}
	return out
}

// suspect marks a cause as suspected.
func (r *refusals) suspect(now time.Time, cause Cause) {
	if r.suspects == nil {
		r.suspects = make(map[CauseID]suspect)
	}
	for id, s := range r.suspects {
		if now.After(s.until) {
			delete(r.suspects, id)
		}
	}
	if len(r.suspects) < maxSuspects {
		r.suspects[cause.ID()] = suspect{cause: cause, until: now.Add(suspectTTL)}
	}
}

// isSuspected reports whether a request with some parts holds a cause that is suspected or on
// probation.
func (r *refusals) isSuspected(now time.Time, parts prompt.Parts) bool {
	for _, s := range r.suspects {
		if now.Before(s.until) && s.cause.IsHeldBy(parts) {
			return true
		}
	}
	return len(r.held(parts)) > 0
}
