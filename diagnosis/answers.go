package diagnosis

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// minAnswers is the number of whole answers that a service has to give, since otherwise no request is
	// answered, whatever its parts are. Answers to any requests count, which may all have the same parts, or none.
	minAnswers = 4
	// soundHistory is how long before the first crash answers count: all upstreams may end within a second.
	soundHistory = 30 * time.Second
)

// answers holds when the latest whole answers of a service ended, at most minAnswers of them, the oldest
// first. Its zero value is empty.
type answers struct{ at []time.Time }

func (a *answers) add(at time.Time) {
	a.at = append(a.at, at)
	a.at = a.at[max(len(a.at)-minAnswers, 0):]
}

// fleetAnswers holds the latest answers that each router has seen. Its zero value is empty.
type fleetAnswers map[fleet.RouterID][]time.Time

// countSince returns how many answers ended after a time.
func (f fleetAnswers) countSince(at time.Time) int {
	count := 0
	for _, times := range f {
		for _, ended := range times {
			if ended.After(at) {
				count++
			}
		}
	}
	return count
}

// clone returns a copy that later answers don't change.
func (a *answers) clone() []time.Time { return slices.Clone(a.at) }
