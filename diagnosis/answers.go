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
// first, and counts all. Its zero value is empty.
type answers struct {
	at    []time.Time
	count uint64
}

func (a *answers) add(at time.Time) {
	a.count++
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

// answerCount is how many whole answers of a service a router had recorded at a time.
type answerCount struct {
	at    time.Time
	count uint64
}

// answerCounts holds what each router had recorded when it reported crashes. Its zero value is empty.
type answerCounts map[fleet.RouterID][]answerCount

// add adds the count of a router. One that is lower than the last comes from a router that has started again.
func (a answerCounts) add(router fleet.RouterID, c answerCount) {
	list := a[router]
	if last := len(list) - 1; last >= 0 && c.count < list[last].count {
		list = nil
	}
	list = append(list, c)
	a[router] = list[max(len(list)-maxCrashes, 0):]
}

// countSince returns at least how many whole answers ended between a time and the routers' latest reports.
func (a answerCounts) countSince(at time.Time) float64 {
	sum := uint64(0)
	for _, list := range a {
		first := slices.IndexFunc(list, func(c answerCount) bool { return !c.at.Before(at) })
		if first >= 0 {
			sum += list[len(list)-1].count - list[first].count
		}
	}
	return float64(sum)
}
