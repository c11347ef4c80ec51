package diagnosis

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
)

const (
	// commonCauseWindow is the time within which crashes are taken to have a common cause. For crashes in
	// the middle of answers, which began before the crash that precedes, it is longer.
	commonCauseWindow     = 50 * time.Millisecond
	lateCommonCauseWindow = 200 * time.Millisecond
	// minRequests is the number of different requests that have to hold a part. A single one that is
	// repeated is refused by itself.
	minRequests = 2
	// maxBeside bounds the parts beside a cause that are told to other routers.
	maxBeside = 64
	// maxFindings bounds the causes, and the suspected ones, that are found at once.
	maxFindings = 8
)

// finding is a Cause, and whether it is certain or only suspected.
type finding struct {
	Cause
	isCertain bool
}

// search looks for causes in a record.
type search struct {
	*record
	service fleet.ServiceID
	// late is set while it looks for causes that end upstreams later than at the beginning of an
	// answer.
	late      bool
	explained map[*upstreamCrash]bool
}

// findings returns the causes of the crashes, and then what is suspected: first what ends upstreams at the
// beginning of answers, then what does so later.
func (r *record) findings(service fleet.ServiceID) []finding {
	s := search{record: r, service: service, explained: make(map[*upstreamCrash]bool)}
	var certain, suspected []finding
	for _, s.late = range []bool{false, true} {
		for len(certain) < maxFindings {
			found := s.next()
			if len(found) == 0 || !found[0].isCertain {
				suspected = append(suspected, found...)
				break
			}
			certain = append(certain, found...)
		}
	}
	return append(certain, suspected...)
}

// next returns the next causes, and marks the crashes that they explain. It takes the part that is at most
// crashes, then the part that is at most of the others, and so on, until the parts together can hardly
// be there by chance. If they may, they are only suspected.
func (s *search) next() []finding {
	var found []finding
	before := maps.Clone(s.explained)
	chance := 0.0
	for len(found) < maxFindings {
		groups := s.groups()
		c, runs := s.best(groups)
		if c == nil {
			break
		}
		found = append(found, s.finding(c, runs))
		s.explain(c.part)
		chance += s.logChance(c, groups)
		if s.mayBeCertain(c) && chance <= math.Log(s.threshold())-float64(len(found)-1)*math.Log(partsAtOnce) {
			for i := range found {
				found[i].isCertain = true
			}
			return found
		}
	}
	s.explained = before
	return found
}

// threshold returns the probability up to which parts count as causes.
func (s *search) threshold() float64 {
	if s.late {
		return maxLateCoincidence
	}
	return maxCoincidence
}

// best returns the first candidate that several different requests hold, with its runs; nil if there is none.
func (s *search) best(groups []crashGroup) (*candidate, []Run) {
	for _, c := range s.candidates(groups) {
		if runs := c.collectRuns(); distinctRequests(runs) >= minRequests {
			return c, runs
		}
	}
	return nil, nil
}

// explain marks the crashes under requests with a part as explained.
func (s *search) explain(part prompt.Part) {
	for _, crash := range s.crashes {
		if crash.parts[part] != nil {
			s.explained[crash] = true
		}
	}
}

// groups returns the crashes that aren't explained, those that may have a common cause together.
func (s *search) groups() []crashGroup {
	window := commonCauseWindow
	if s.late {
		window = lateCommonCauseWindow
	}
	var out []crashGroup
	for _, crash := range s.crashes {
		if s.explained[crash] {
			continue
		}
		if last := len(out) - 1; last >= 0 && crash.at.Before(out[last].at.Add(window)) {
			out[last].crashes = append(out[last].crashes, crash)
			continue
		}
		out = append(out, crashGroup{at: crash.at, crashes: []*upstreamCrash{crash}})
	}
	return out
}

// candidates returns the parts that may be causes, in the order in which they are considered.
func (s *search) candidates(groups []crashGroup) []*candidate {
	byPart := make(map[prompt.Part]*candidate)
	for number := range groups {
		for part, present := range groups[number].presences(s) {
			c := byPart[part]
			if c == nil {
				c = &candidate{part: part, wasSound: !s.sound.find(part).since(s.late).IsZero()}
				byPart[part] = c
			}
			c.add(number, present)
		}
	}
	var out []*candidate
	for _, c := range byPart {
		if len(c.presences) >= suspectCrashes {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

// tellsAgainst reports whether a crash under a part tells against it: no answer with the part has come
// far since, and here neither, unless causes are looked for that act later.
func (s *search) tellsAgainst(crash *upstreamCrash, part prompt.Part) bool {
	return (s.late || crash.parts[part].furthest < Answering) && crash.at.After(s.sound.find(part).since(s.late))
}

// finding returns the cause that a candidate stands for: all parts that its runs have in common. Parts
// that have proved sound since its first crash can't be a reason.
func (s *search) finding(c *candidate, runs []Run) finding {
	common := sortedSet(runs[0].Parts)
	for _, run := range runs[1:] {
		common = intersect(common, run.Parts)
	}
	isSound := func(p prompt.Part) bool { return p != c.part && s.sound.find(p).since(s.late).After(c.first().at) }
	out := finding{Cause: NewCause(s.service, slices.DeleteFunc(common, isSound), s.late)}
	out.Beside = beside(out.Cause, runs, isSound)
	return out
}

// beside returns the parts that several different requests hold beside a cause, those first that most hold.
func beside(cause Cause, runs []Run, isSound func(prompt.Part) bool) prompt.Parts {
	requests := make(map[prompt.Part]map[quarantine.Fingerprint]bool)
	for _, run := range runs {
		for _, part := range run.Parts {
			if slices.Contains(cause.Parts, part) || isSound(part) {
				continue
			}
			if requests[part] == nil {
				requests[part] = make(map[quarantine.Fingerprint]bool)
			}
			requests[part][run.Request] = true
		}
	}
	maps.DeleteFunc(requests, func(_ prompt.Part, holders map[quarantine.Fingerprint]bool) bool { return len(holders) < minRequests })
	out := slices.Collect(maps.Keys(requests))
	slices.SortFunc(out, func(a, b prompt.Part) int {
		return cmp.Or(cmp.Compare(len(requests[b]), len(requests[a])), cmp.Compare(a, b))
	})
	return out[:min(len(out), maxBeside)]
}
