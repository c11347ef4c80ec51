package explain

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxSums bounds the sums that are told of a request without lines.
const maxSums = 12

// sum stands for refusals without lines of their own, of one kind and second.
type sum struct {
	at      time.Time
	router  string
	reason  string
	account string
	route   string
	count   int
	longest float64
}

func sumOf(l *line) sum {
	return sum{l.Time, l.Router, l.Reason, l.Account, l.Route, l.Count, l.Longest}
}

func (s sum) String() string {
	return fmt.Sprintf("%s %s refused %d requests without lines of their own: %s, route %s, account %s, after %.1f ms at most",
		s.at.Format("15:04:05.000"), s.router, s.count, s.reason, s.route, s.account, s.longest)
}

// takeSum keeps a line that stands for many refusals, and tells it if it names the request.
func (e *Explainer) takeSum(l *line) error {
	if slices.Contains(l.FirstIDs, e.Request) {
		e.found++
		return e.print(l, "refused, one of several without lines of their own: "+l.Reason)
	}
	e.sums = append(e.sums, sumOf(l))
	if len(e.sums) > 2*maxSums {
		e.dropSmall()
	}
	return nil
}

// dropSmall keeps the sums that stand for the most requests, in the order of their times.
func (e *Explainer) dropSmall() {
	slices.SortStableFunc(e.sums, func(a, b sum) int { return b.count - a.count })
	e.sums = e.sums[:min(len(e.sums), maxSums)]
	slices.SortStableFunc(e.sums, func(a, b sum) int { return a.at.Compare(b.at) })
}

// Suggest writes the largest sums that a request without lines may be part of. It is called
// once all logs are read.
func (e *Explainer) Suggest() error {
	e.dropSmall()
	for _, s := range e.sums {
		if _, err := fmt.Fprintln(e.Out, s); err != nil {
			return eris.Wrap(err, "writing the sums")
		}
	}
	return nil
}
