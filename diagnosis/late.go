package diagnosis

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/prompt"
)

const (
	// maxLateCoincidence is maxCoincidence for parts that crash upstreams some time after the beginning of an
	// answer. All runs of an upstream are suspects then, so more parts are there by chance.
	maxLateCoincidence = 2e-6
	// leastShare is the least share of requests that is tried, and shareStep the factor from one to the next.
	leastShare = 1e-4
	shareStep  = 1.2
)

// logLateChance returns the logarithm of the probability that a part which doesn't crash upstreams is at all the crashes of
// a candidate, while no answer with it ends, whatever share of the requests up to commonShare holds it. A common part is at
// each crash, but then some of the answers that the fleet completes are its own.
func (s *search) logLateChance(c *candidate) float64 {
	answered := s.counts.countSince(c.first().at)
	least, age := c.leastChances(), c.greatestAge()
	most := math.Inf(-1)
	for share := leastShare; share <= commonShare; share *= shareStep {
		chance := -share * answered
		for i, p := range c.presences {
			chance += math.Log(max(p.lateChance(c.part, share, age), least[i]))
		}
		most = max(most, chance)
	}
	return most + math.Log(float64(len(c.presences))) // the age is that of one of them
}

// greatestAge returns the time within which upstreams have crashed after a request with the part was sent.
func (c *candidate) greatestAge() time.Duration {
	greatest := time.Duration(0)
	for _, p := range c.presences {
		for _, crash := range p.crashes {
			greatest = max(greatest, crash.youngest(c.part))
		}
	}
	return greatest
}

// youngest returns how long before the crash the latest request with a part was sent.
func (c *upstreamCrash) youngest(part prompt.Part) time.Duration {
	return c.at.Sub(c.parts[part].sentAt)
}

// lateChance returns the probability that a part which a share of the requests holds is at that many of the crashes of a group by
// chance, among the runs up to an age.
func (p presence) lateChance(part prompt.Part, share float64, age time.Duration) float64 {
	chance := math.Exp(logBinomial(p.size, len(p.crashes)))
	for _, crash := range p.crashes {
		others := float64(len(crash.parts[part].runs) - 1)
		chance *= max(1-math.Pow(1-share, float64(crash.countSentWithin(age))), 1-math.Exp(-others))
	}
	return min(chance, 1)
}

// countSentWithin returns how many requests were sent within some time before the crash.
func (c *upstreamCrash) countSentWithin(age time.Duration) int {
	count := 0
	for _, run := range c.runs {
		if c.at.Sub(run.SentAt) <= age {
			count++
		}
	}
	return count
}
