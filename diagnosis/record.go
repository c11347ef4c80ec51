package diagnosis

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	// maxCrashes is the number of crashes of a service that are remembered, and maxCrashParts the
	// number of parts in each, counted once for each request that holds them.
	maxCrashes    = 32
	maxCrashParts = 4096
	// crashTTL is how long a crash counts.
	crashTTL = 5 * time.Minute
	// clockSlack is how much reports of one moment may differ.
	clockSlack = 10 * time.Millisecond
)

// upstreamCrash is the crash of an upstream, as seen by all routers that have reported it.
type upstreamCrash struct {
	upstream turn.Instance
	at       time.Time
	runs     []Run
	// parts holds the runs of each part, and copies when the first copy of each request was sent.
	parts  map[prompt.Part]*partRuns
	copies map[quarantine.Fingerprint]time.Time
	// size is the number of parts of all runs.
	size int
}

// partRuns describes the runs with one part at a crash.
type partRuns struct {
	runs []int
	// furthest is the stage of the answer that had come furthest, and sentAt when the latest run was
	// sent.
	furthest Stage
	sentAt   time.Time
}

// add adds the runs of one router, those whose answers had just begun first.
func (c *upstreamCrash) add(runs []Run) {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return int(a.Stage - b.Stage) })
	for _, run := range runs {
		if c.size += len(run.Parts); c.size > maxCrashParts {
			return
		}
		number := len(c.runs)
		c.runs = append(c.runs, run)
		if sentAt, known := c.copies[run.Request]; !known || run.SentAt.Before(sentAt) {
			c.copies[run.Request] = run.SentAt
		}
		for _, part := range run.Parts {
			c.addPart(part, number)
		}
	}
}

func (c *upstreamCrash) addPart(part prompt.Part, number int) {
	found := c.parts[part]
	if found == nil {
		found = &partRuns{}
		c.parts[part] = found
	}
	if count := len(found.runs); count > 0 && found.runs[count-1] == number {
		return // the prompt has the part twice
	}
	run := c.runs[number]
	found.runs = append(found.runs, number)
	found.furthest = max(found.furthest, run.Stage)
	if run.SentAt.After(found.sentAt) {
		found.sentAt = run.SentAt
	}
}

// record holds the crashes of a service's upstreams, in order of time, and which parts are sound. Its
// zero value is empty.
type record struct {
	crashes []*upstreamCrash
	sound   soundness
	answers fleetAnswers
	counts  answerCounts
	// askedAt holds when the other routers were last asked about a part, and firstAskedAt since when
	// they have been.
	askedAt, firstAskedAt map[prompt.Part]time.Time
	// suspectedAt holds since when repeated requests are suspected, and clearedAt until when crashes tell nothing against a
	// request.
	suspectedAt, clearedAt map[quarantine.Fingerprint]time.Time
}

// add adds what one router knows of a crash.
func (r *record) add(now time.Time, crash Crash) {
	for _, sound := range crash.Sound {
		r.sound.add(sound)
	}
	if r.answers == nil {
		r.answers, r.counts = make(fleetAnswers), make(answerCounts)
	}
	r.counts.add(crash.Reporter, answerCount{at: crash.At, count: crash.AnsweredCount})
	r.answers[crash.Reporter] = crash.AnsweredAt
	r.expire(now)
	known := r.find(crash.Upstream)
	if known == nil {
		known = &upstreamCrash{
			upstream: crash.Upstream, at: crash.At, parts: make(map[prompt.Part]*partRuns), copies: make(map[quarantine.Fingerprint]time.Time),
		}
		r.crashes = append(r.crashes, known)
	}
	if crash.At.Before(known.at) {
		known.at = crash.At
	}
	known.add(crash.Runs)
	slices.SortStableFunc(r.crashes, func(a, b *upstreamCrash) int { return a.at.Compare(b.at) })
	if excess := len(r.crashes) - maxCrashes; excess > 0 {
		r.crashes = slices.Delete(r.crashes, 0, excess)
	}
}

func (r *record) find(upstream turn.Instance) *upstreamCrash {
	for _, c := range r.crashes {
		if c.upstream == upstream {
			return c
		}
	}
	return nil
}

func (r *record) expire(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c *upstreamCrash) bool { return now.Sub(c.at) > crashTTL })
}

// distinctRequests counts the different requests among runs.
func distinctRequests(runs []Run) int {
	seen := make(map[quarantine.Fingerprint]bool, len(runs))
	for _, run := range runs {
		seen[run.Request] = true
	}
	return len(seen)
}
