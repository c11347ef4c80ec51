package diagnosis

import (
	"cmp"
	"math"
	"time"

	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
)

const (
	// suspectCrashes is the number of crashes, one after the other, after which a part is suspected, and
	// minCrashes that after which it may be a cause.
	suspectCrashes = 2
	minCrashes     = 3
	// maxCoincidence is the probability up to which a part counts as a cause though it may have been
	// there by chance.
	maxCoincidence = 2e-3
	// soundBefore is the factor by which it is less likely that a part crashes upstreams if some
	// answer with it came far before.
	soundBefore = 1e-3
	// partsAtOnce is the number of parts among which a further one is chosen.
	partsAtOnce = 100
	// repeatedChance is the least probability for requests that were at an earlier crash. They began
	// again after it, and may meet the next one soon.
	repeatedChance = 0.25
	// commonShare is the share of requests up to which a part counts as one that few hold.
	commonShare = 0.02
)

// crashGroup holds crashes that may have a common cause.
type crashGroup struct {
	at      time.Time
	crashes []*upstreamCrash
}

// presence is the presence of a part at a group of crashes.
type presence struct {
	crashes []*upstreamCrash
	// runs is the number of runs with the part, and furthest how far the answer had come that had come
	// furthest.
	runs     int
	furthest Stage
	// group is the number of the group, and size the number of its crashes.
	group, size int
}

// presences returns the parts that the crashes of the group tell against. A part has to be at most of the
// upstreams that end together.
func (g *crashGroup) presences(s *search) map[prompt.Part]presence {
	out := make(map[prompt.Part]presence)
	for _, crash := range g.crashes {
		for part, runs := range crash.parts {
			if !s.tellsAgainst(crash, part) {
				continue
			}
			p := out[part]
			p.crashes = append(p.crashes, crash)
			p.runs += len(runs.runs)
			p.furthest = max(p.furthest, runs.furthest)
			p.size = len(g.crashes)
			out[part] = p
		}
	}
	for part, p := range out {
		if 2*len(p.crashes) < len(g.crashes) {
			delete(out, part)
		}
	}
	return out
}

// candidate is a part that may be a cause.
type candidate struct {
	part      prompt.Part
	presences []presence
	// crashes and runs are the sums over the presences.
	crashes, runs int
	// wasSound is set if an answer with the part came far at any time.
	wasSound bool
}

func (c *candidate) add(group int, p presence) {
	p.group = group
	c.presences = append(c.presences, p)
	c.crashes += len(p.crashes)
	c.runs += p.runs
}

// compareCandidates orders candidates: those first that never proved sound, then the one that is at most
// crashes, then the one that the fewest requests hold.
func compareCandidates(a, b *candidate) int {
	switch {
	case a.wasSound && !b.wasSound:
		return 1
	case b.wasSound && !a.wasSound:
		return -1
	}
	return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.runs, b.runs), cmp.Compare(a.part, b.part))
}

// first returns the first crash under the part.
func (c *candidate) first() *upstreamCrash { return c.presences[0].crashes[0] }

// collectRuns returns the runs with the part.
func (c *candidate) collectRuns() []Run {
	var runs []Run
	for _, p := range c.presences {
		runs = append(runs, c.runsAt(p)...)
	}
	return runs
}

// runsAt returns the runs with the part at one group of crashes.
func (c *candidate) runsAt(p presence) []Run {
	var runs []Run
	for _, crash := range p.crashes {
		for _, number := range crash.parts[c.part].runs {
			runs = append(runs, crash.runs[number])
		}
	}
	return runs
}

// mayBeCertain reports whether a candidate may be a cause. If hardly anything is answered, requests are no reason
// why upstreams end.
func (s *search) mayBeCertain(c *candidate) bool {
	return len(c.presences) >= minCrashes && s.answers.countSince(c.first().at.Add(-soundHistory)) >= minAnswers && (!s.late || c.wasSentAgain())
}

// logChance returns the logarithm of the probability that a candidate is at so many of the crashes since its first
// by chance.
func (s *search) logChance(c *candidate, groups []crashGroup) float64 {
	chance := logBinomial(len(groups)-c.presences[0].group, len(c.presences))
	if c.wasSound {
		chance -= math.Log(soundBefore)
	}
	if s.late {
		return chance + s.logLateChance(c)
	}
	for i, least := range c.leastChances() {
		chance += math.Log(max(c.presences[i].chance(), least))
	}
	return chance
}

// leastChances returns the least chance of each presence.
func (c *candidate) leastChances() []float64 {
	out := make([]float64, len(c.presences))
	seen := make(map[quarantine.Fingerprint]bool)
	for i, p := range c.presences {
		out[i] = repeatedChance
		for _, run := range c.runsAt(p) {
			if !seen[run.Request] {
				out[i] = 0
			}
			seen[run.Request] = true
		}
	}
	return out
}

// chance returns the probability that a part is at a crash by chance, among the runs that may have caused
// it as well. It grows with the number of runs that hold the part, of which one may have caused the crash.
func (p presence) chance() float64 {
	suspects := 0
	for _, crash := range p.crashes {
		suspects += crash.countSuspects(p.furthest)
	}
	others := float64(p.runs)/float64(len(p.crashes)) - 1
	return max(1-math.Pow(1-commonShare, float64(suspects)), 1-math.Exp(-others))
}

// countSuspects returns how many runs may have caused a crash at the beginning of an answer: those whose answers had just
// begun if this holds for the part in question, or also those that may have begun.
func (c *upstreamCrash) countSuspects(stage Stage) int {
	count := 0
	for _, run := range c.runs {
		if run.Stage == Beginning || (stage == Waiting && run.Stage == Waiting) {
			count++
		}
	}
	return count
}

// wasSentAgain reports whether some requests with the part were sent after the first crash, so that they
// aren't all victims of what ended several upstreams one after the other.
func (c *candidate) wasSentAgain() bool {
	again := 0
	for _, p := range c.presences[1:] {
		if p.crashes[0].parts[c.part].sentAt.After(c.first().at.Add(-clockSlack)) {
			again++
		}
	}
	return again >= minCrashes-1
}

// logBinomial returns the logarithm of the number of ways to choose k of n.
func logBinomial(n, k int) float64 {
	logOf := func(x int) float64 {
		value, _ := math.Lgamma(float64(x + 1))
		return value
	}
	return logOf(n) - logOf(k) - logOf(n-k)
}
