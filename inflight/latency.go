package inflight

import "time"

const (
	// windowSize is the number of first-token times per mean, enough that a single long
	// prompt doesn't dominate.
	windowSize = 16
	// maxMeanRatio is how many times the best mean a mean may be. Between an empty and a
	// full batch, first-token times grow by up to two times; a request that queues in the
	// engine waits for a whole answer to end, a hundred times a first token.
	maxMeanRatio = 3
	// bestDecayDivisor sets how fast the best mean rises: in each window by its value
	// divided by this. Otherwise an upstream whose prompts have become longer
	// permanently would be limited for ever.
	bestDecayDivisor = 50
	// minBestMean is the lowest best mean. A best mean near zero would make all others look
	// slow.
	minBestMean = 5 * time.Millisecond
)

// firstTokenLatency compares the mean first-token time per window with the best mean.
type firstTokenLatency struct {
	sum        time.Duration
	count      int
	bestMean   time.Duration
	latestMean time.Duration
}

// add adds a first-token time and reports whether it completed a window.
func (l *firstTokenLatency) add(firstToken time.Duration) bool {
	if firstToken <= 0 {
		return false
	}
	l.sum += firstToken
	l.count++
	if l.count < windowSize {
		return false
	}
	l.latestMean = l.sum / windowSize
	l.sum, l.count = 0, 0
	l.bestMean += l.bestMean / bestDecayDivisor
	if l.bestMean == 0 || l.latestMean < l.bestMean {
		l.bestMean = max(l.latestMean, minBestMean)
	}
	return true
}

// isHigh reports whether the mean of the latest window is too high.
func (l *firstTokenLatency) isHigh() bool { return l.latestMean > maxMeanRatio*l.bestMean }
