package inflight

import "time"

const (
	// windowSize is how many first-token times make one mean: enough that one
	// long prompt does not decide.
	windowSize = 16
	// tolerance is how many times the best mean a mean may be. Between an
	// empty and a full batch first tokens slow down by up to two times; a
	// request that queues inside waits for a whole answer to end, a hundred
	// times a first token.
	tolerance = 3
	// forgetting raises the best mean at each window by one part in this many,
	// so that an upstream whose prompts have grown longer for good is not
	// held down for ever.
	forgetting = 50
	// leastBest keeps times near zero from making any other look slow.
	leastBest = 5 * time.Millisecond
)

// latency watches first-token times in windows.
type latency struct {
	sum   time.Duration
	count int
	best  time.Duration
	mean  time.Duration
}

// add takes one time and reports whether it completed a window.
func (l *latency) add(firstToken time.Duration) bool {
	if firstToken <= 0 {
		return false
	}
	l.sum += firstToken
	l.count++
	if l.count < windowSize {
		return false
	}
	l.mean = l.sum / windowSize
	l.sum, l.count = 0, 0
	l.best += l.best / forgetting
	if l.best == 0 || l.mean < l.best {
		l.best = max(l.mean, leastBest)
	}
	return true
}

// high reports whether the latest window was too slow.
func (l *latency) high() bool { return l.mean > tolerance*l.best }
