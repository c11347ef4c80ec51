package explain

import (
	"fmt"
	"slices"
)

// maxSums bounds the sums that are told of a request without lines.
const maxSums = 12

// summed tells of refusals without lines of their own, of one kind and second.
func (l *line) summed() string {
	return fmt.Sprintf("refused %d requests without lines of their own: %s, route %s, account %s, after %.1f ms at most",
		l.Count, l.Reason, l.Route, l.Account, l.Longest)
}

// takeSum keeps a line that stands for many refusals, and tells it if it names the request.
func (e *Explainer) takeSum(l *line) error {
	if slices.Contains(l.FirstIDs, e.Request) {
		e.found++
		return e.print(l, "refused, one of several without lines of their own: "+l.Reason)
	}
	e.sums = append(e.sums, *l)
	if len(e.sums) > 2*maxSums {
		e.dropSmall()
	}
	return nil
}

// dropSmall keeps the sums that stand for the most requests, in the order of their times.
func (e *Explainer) dropSmall() {
	slices.SortStableFunc(e.sums, func(a, b line) int { return b.Count - a.Count })
	e.sums = e.sums[:min(len(e.sums), maxSums)]
	slices.SortStableFunc(e.sums, func(a, b line) int { return a.Time.Compare(b.Time) })
}

// Suggest writes the largest sums that a request without lines may be part of. It is called
// once all logs are read.
func (e *Explainer) Suggest() error {
	e.dropSmall()
	for i := range e.sums {
		if err := e.print(&e.sums[i], e.sums[i].summed()); err != nil {
			return err
		}
	}
	return nil
}
