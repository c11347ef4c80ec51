package diagnosis

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/quarantine"
)

const (
	// aloneTime is the time before and after crashes under copies of a request within which all upstreams that end must have run a
	// copy, so that each of the crashes counts. Power cuts may spread for as long.
	aloneTime = time.Second
	// maxOverlapCoincidence is the probability up to which copies of a request count as the cause of crashes. It is that of a request
	// which is at three crashes one after the other in a service of four upstreams.
	maxOverlapCoincidence = 1.0 / 16
	// maxRepeated bounds the requests of a service that are suspected at once.
	maxRepeated = 64
	// maxCleared bounds the requests of which it is remembered that they were answered.
	maxCleared = 1024
)

// RepeatedRequest is a request whose copies were at the crashes of several upstreams.
type RepeatedRequest struct {
	Request quarantine.Fingerprint
	// FirstCrash is when the first of the upstreams ended.
	FirstCrash time.Time
}

// copyCrash is a crash of an upstream that ran a copy of a request.
type copyCrash struct {
	*upstreamCrash
	// sentAt is when the first copy was sent that the upstream ran.
	sentAt time.Time
}

// repeated finds requests that crash each upstream which runs a copy of them, also if the copies run side by side. Those whose copies
// only ran one after the other are left to a quarantine.Tracker. listed is the number of the service's upstreams. isPending is set if
// another upstream may still turn out to have ended at the same time.
func (r *record) repeated(now time.Time, listed int) (found []RepeatedRequest, isPending bool) {
	for request, crashes := range r.copies() {
		if len(crashes) < minCrashes {
			continue
		}
		e := r.evidence(now, request, crashes, listed)
		switch {
		case !e.hasOverlap || e.count < minCrashes || e.logChance > math.Log(maxOverlapCoincidence):
		case e.isSettled:
			found = append(found, RepeatedRequest{Request: request, FirstCrash: crashes[0].at})
		default:
			isPending = true
		}
	}
	return found, isPending
}

// copyEvidence is what the crashes under a request tell against it.
type copyEvidence struct {
	// count is the number of crashes that count, and logChance the logarithm of the probability that all have other causes.
	count     int
	logChance float64
	// hasOverlap is set if copies ran side by side, and isSettled once no upstream can turn out to have ended beside them.
	hasOverlap, isSettled bool
}

func (r *record) evidence(now time.Time, request quarantine.Fingerprint, crashes []copyCrash, listed int) copyEvidence {
	e := copyEvidence{isSettled: true}
	for i, cluster := range clusters(crashes) {
		count, logChance := r.weigh(request, cluster, listed)
		e.count += count
		if len(cluster) > 1 {
			e.hasOverlap = true
			e.isSettled = e.isSettled && now.Sub(cluster[len(cluster)-1].at) >= aloneTime
		}
		if len(cluster) > 1 || i > 0 { // any request is as likely to be at a single first crash
			e.logChance += logChance
		}
	}
	return e
}

// copies returns the crashes under each request that count, in order of time.
func (r *record) copies() map[quarantine.Fingerprint][]copyCrash {
	out := make(map[quarantine.Fingerprint][]copyCrash)
	for _, crash := range r.crashes {
		for request, sentAt := range crash.copies {
			if crash.at.After(r.clearedAt[request]) {
				out[request] = append(out[request], copyCrash{upstreamCrash: crash, sentAt: sentAt})
			}
		}
	}
	return out
}

// clusters returns the crashes under a request, those together that may have a common cause: the copy was sent before the previous
// crash, or may have been sent again because of it and met the same cause.
func clusters(crashes []copyCrash) [][]copyCrash {
	var out [][]copyCrash
	for i, crash := range crashes {
		if i > 0 {
			before := crashes[i-1].at
			if crash.sentAt.Before(before.Add(-clockSlack)) || crash.at.Before(before.Add(commonCauseWindow)) {
				out[len(out)-1] = append(out[len(out)-1], crash)
				continue
			}
		}
		out = append(out, []copyCrash{crash})
	}
	return out
}

// weigh returns how many crashes a cluster counts as, and the logarithm of the probability that they have another cause. Each counts if
// exactly those upstreams ended that ran a copy: a power cut is as likely to hit any other upstreams. If others ended, too, or all did,
// the cluster counts as one, and tells nothing else.
func (r *record) weigh(request quarantine.Fingerprint, cluster []copyCrash, listed int) (count int, logChance float64) {
	if len(cluster) >= listed {
		return 1, 0
	}
	first, last := cluster[0].at.Add(-aloneTime), cluster[len(cluster)-1].at.Add(aloneTime)
	crashesOf := make(map[quarantine.Fingerprint]int)
	for _, crash := range r.crashes {
		if crash.at.Before(first) || crash.at.After(last) {
			continue
		}
		if _, hasCopy := crash.copies[request]; !hasCopy {
			return 1, 0
		}
		for other := range crash.copies {
			crashesOf[other]++
		}
	}
	repeated := 0
	for _, crashes := range crashesOf {
		if crashes > 1 {
			repeated++
		}
	}
	return len(cluster), min(math.Log(float64(max(repeated, 1)))-logBinomial(listed, len(cluster)), 0)
}

// suspectRepeated returns which of the requests the other routers have to be told of as suspected, and which have been suspected for long
// enough that a router which has served them would have said so.
func (r *record) suspectRepeated(now time.Time, found []RepeatedRequest) (suspected, certain []RepeatedRequest) {
	before := r.suspectedAt
	r.suspectedAt = make(map[quarantine.Fingerprint]time.Time)
	for _, f := range found[:min(len(found), maxRepeated)] {
		at, known := before[f.Request]
		switch {
		case !known:
			at = now
			suspected = append(suspected, f)
		case now.Sub(at) >= AnswerTime:
			certain = append(certain, f)
		}
		r.suspectedAt[f.Request] = at
	}
	return suspected, certain
}

// ClearRequest makes earlier crashes tell nothing against a request.
func (t *Tracker) ClearRequest(now time.Time, request quarantine.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.clearedAt == nil || len(r.clearedAt) >= maxCleared {
			r.clearedAt = make(map[quarantine.Fingerprint]time.Time)
		}
		r.clearedAt[request] = now
	}
}
