// Package pace estimates how fast the process of an upstream works compared with usual.
//
// The load that it handles: upstreams share their machines with other work. One of them takes two and a half
// times as long as usual for some hundred milliseconds, or for good, and says so in its answers. Requests that
// are sent to it as if it worked as usual are late, and they make all upstreams of the service look slow.
package pace

import (
	"math"
	"time"
)

// Slowdown is the duration of work relative to its usual duration.
type Slowdown float64

const (
	// Usual is the slowdown of a process that works as usual.
	Usual Slowdown = 1
	// Min is the lowest slowdown that is accepted and estimated.
	Min Slowdown = 0.1
	// Max is the highest one.
	Max Slowdown = 20
)

// FromPercent returns the slowdown of a duration in percent of the usual one.
func FromPercent(percent float64) Slowdown { return Slowdown(percent / 100) }

// Percent returns the duration in percent of the usual one.
func (s Slowdown) Percent() uint32 { return uint32(math.Round(float64(s) * 100)) }

// IsValid reports whether s is within the bounds.
func (s Slowdown) IsValid() bool { return s >= Min && s <= Max }

// Stretch returns how long work takes that usually takes d.
func (s Slowdown) Stretch(d time.Duration) time.Duration {
	if s == Usual {
		return d // without rounding, so that nothing changes where nothing is stated
	}
	return time.Duration(float64(s) * float64(d))
}

// Shrink returns how long work usually takes that took d.
func (s Slowdown) Shrink(d time.Duration) time.Duration {
	if s == Usual {
		return d
	}
	return time.Duration(float64(d) / float64(s))
}

// maxDifference is the largest ratio of two slowdowns that count as the same one.
const maxDifference = 1.25

// Common returns the slowdown during a time with this one at its start and this one at its end. It returns
// false if they differ, since it isn't known when the slowdown changed.
func Common(start, end Slowdown) (Slowdown, bool) {
	if start == end {
		return end, true
	}
	if max(start, end) > maxDifference*min(start, end) {
		return 0, false
	}
	return Slowdown(math.Sqrt(float64(start) * float64(end))), true
}

// Statement is what an upstream states about its load in an answer. Its zero value states nothing.
type Statement struct {
	// HasCounts is true if Running, Waiting and Slots are stated.
	HasCounts               bool
	Running, Waiting, Slots int
	// Slowdown is zero if it isn't stated.
	Slowdown Slowdown
}

// IsEmpty reports whether nothing is stated.
func (s Statement) IsEmpty() bool { return !s.HasCounts && s.Slowdown == 0 }

// Rejection is why a figure of a statement isn't used.
type Rejection string

// The rejections.
const (
	// Malformed figures are missing or aren't numbers.
	Malformed Rejection = "malformed"
	// OutOfRange figures are negative or too large or too small to be true.
	OutOfRange Rejection = "out-of-range"
	// Ambiguous statements come several at once.
	Ambiguous Rejection = "ambiguous"
)

// Rejections returns all rejections, for counters that start at zero.
func Rejections() []Rejection { return []Rejection{Malformed, OutOfRange, Ambiguous} }
