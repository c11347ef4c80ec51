package home

import (
	"slices"
	"time"
)

const (
	// maxDelaySamples is the number of answers of which the median is taken, at least
	// minDelaySamples of the last delayWindow.
	maxDelaySamples = 15
	minDelaySamples = 5
	delayWindow     = time.Second
)

// answerDelay is the recent delay of homes' answers. It is a median, so that one slow home
// or a few lost packets don't show. Its zero value has no samples.
type answerDelay struct {
	samples [maxDelaySamples]delaySample
	next    int
}

type delaySample struct {
	at   time.Time
	took time.Duration
}

func (d *answerDelay) observe(now time.Time, took time.Duration) {
	d.samples[d.next] = delaySample{now, took}
	d.next = (d.next + 1) % maxDelaySamples
}

// median returns the median of the recent delays, zero if there are too few.
func (d *answerDelay) median(now time.Time) time.Duration {
	recent := make([]time.Duration, 0, maxDelaySamples)
	for _, s := range d.samples {
		if !s.at.IsZero() && now.Sub(s.at) < delayWindow {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minDelaySamples {
		return 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2]
}

// AnswerDelay returns how long homes recently took to answer this router, zero if it asked
// too few times. It is a few milliseconds. If the router has enough processor time, a long
// delay means that its link is full: answers queue behind the bodies of callers' requests.
func (c *Coordinator) AnswerDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roundTrip.recent.median(now)
}
