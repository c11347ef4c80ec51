package explain

import (
	"fmt"
	"slices"
)

// maxSummaries bounds the summaries that are printed for a request without lines.
const maxSummaries = 12

// describeSummary describes a summary of refused requests of one kind and second.
func (l *logLine) describeSummary() string {
	return fmt.Sprintf("refused %d requests without lines of their own: %s, route %s, account %s, after %.1f ms at most",
		l.Count, l.Reason, l.Route, l.Account, l.LongestWait)
}

// addSummary keeps a line that summarises several refusals, or prints it if it lists the
// id of the request.
func (e *Explainer) addSummary(l *logLine) error {
	if slices.Contains(l.FirstIDs, e.Request) {
		e.found++
		return e.print(l, "refused, one of several without lines of their own: "+l.Reason)
	}
	e.summaries = append(e.summaries, *l)
	if len(e.summaries) > 2*maxSummaries {
		e.keepLargest()
	}
	return nil
}

// keepLargest keeps the summaries with the most requests, sorted by time.
func (e *Explainer) keepLargest() {
	slices.SortStableFunc(e.summaries, func(a, b logLine) int { return b.Count - a.Count })
	e.summaries = e.summaries[:min(len(e.summaries), maxSummaries)]
	slices.SortStableFunc(e.summaries, func(a, b logLine) int { return a.Time.Compare(b.Time) })
}

// PrintSummaries prints the largest summaries, which may include a request that has no
// lines. It must be called after all logs were read.
func (e *Explainer) PrintSummaries() error {
	e.keepLargest()
	for i := range e.summaries {
		if err := e.print(&e.summaries[i], e.summaries[i].describeSummary()); err != nil {
			return err
		}
	}
	return nil
}
