package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// goals are the measured figures that the users ask for.
const (
	goalGap         = 2.0
	goalUtilisation = 0.98
	goalControl     = 3000.0
	goalSmall       = 1.5
)

// WritePage writes the report as a page of tables in Markdown.
func (r Report) WritePage(w io.Writer, title string) error {
	p := &page{}
	p.line("# %s", title)
	p.line("")
	p.line("Made by `nutmeglock experiment`: %.0f s of virtual time a run, seeds %s, after 10 s of start.", r.Duration, joined(r.Seeds))
	p.line("Figures of the decisions in a model (package experiment), not of routers on a network.")
	p.line("The gap is the largest difference in weighted tokens between two accounts over any interval in which both had work waiting,")
	p.line("as a multiple of the largest request's cost; *later* counts intervals after 30 s only. Utilisation is while a request had waited for over 10 ms.")
	p.line("Control is bytes per second and router, each counted once at its sender: messages, their TCP and IP headers, and load reports over HTTP.")
	p.line("")
	p.goals(r)
	for _, name := range r.deployments() {
		p.deployment(r, name)
	}
	_, err := io.WriteString(w, p.text.String())
	return err
}

type page struct{ text strings.Builder }

func (p *page) line(format string, args ...any) {
	fmt.Fprintf(&p.text, format+"\n", args...)
}

func joined(seeds []uint64) string {
	var parts []string
	for _, seed := range seeds {
		parts = append(parts, fmt.Sprint(seed))
	}
	return strings.Join(parts, ", ")
}

// size names a deployment with its routers, so that scaled ones are told apart.
func (d Deployment) size() string { return fmt.Sprintf("%s, %d routers", d.Name, d.Routers) }

func (r Report) deployments() []string {
	var names []string
	seen := make(map[string]bool)
	for _, result := range r.Results {
		if name := result.Deployment.size(); !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}

// goals lists, for the chosen policy, how far each goal is reached.
func (p *page) goals(r Report) {
	p.line("## Goals, by the fair policy")
	p.line("")
	p.line("| deployment | load | gap ≤ %.0f × | later | utilisation ≥ %.2f | control < %.0f B/s |", goalGap, goalUtilisation, goalControl)
	p.line("|---|---|---|---|---|---|")
	for _, result := range r.Results {
		if result.Policy != Policies()[0].Name {
			continue
		}
		p.line("| %s | %s | %s | %s | %s | %s |", result.Deployment.size(), result.Load,
			judged(result.GapMultiple, result.GapMultiple <= goalGap, "%.2f"),
			judged(result.LaterGapMultiple, result.LaterGapMultiple <= goalGap, "%.2f"),
			judged(result.Utilisation, result.Utilisation >= goalUtilisation, "%.4f"),
			judged(result.Control.Total, result.Control.Total < goalControl, "%.0f"))
	}
	p.line("")
	p.small(r)
}

func judged(value float64, reached bool, format string) string {
	text := fmt.Sprintf(format, value)
	if reached {
		return text
	}
	return "**" + text + " missed**"
}

// small compares the small account's times beside a flood with those without.
func (p *page) small(r Report) {
	p.line("The small account beside a flood; allowed is %.1f times its p99 without the flood and one of its residences:", goalSmall)
	p.line("")
	p.line("| deployment | policy | p99 without, ms | p99 beside, ms | allowed, ms | its answers without / beside |")
	p.line("|---|---|---|---|---|---|")
	for _, beside := range r.Results {
		load, _ := LoadByName(beside.Load)
		if load.reference == "" {
			continue
		}
		without, ok := r.matching(beside, load.reference)
		if !ok {
			continue
		}
		a, b := without.Accounts[smallAccount], beside.Accounts[smallAccount]
		allowed := goalSmall*a.Queue.P99 + a.Residence.P50
		p.line("| %s | %s | %.0f | %s | %.0f | %d / %d |", beside.Deployment.size(), beside.Policy,
			a.Queue.P99, judged(b.Queue.P99, b.Queue.P99 <= allowed && b.Answered > 0, "%.0f"), allowed, a.Answered, b.Answered)
	}
	p.line("")
}

// matching returns the result of another load that is otherwise the same.
func (r Report) matching(result Result, load string) (Result, bool) {
	for _, other := range r.Results {
		if other.Load == load && other.Policy == result.Policy && other.Seed == result.Seed && other.Deployment == result.Deployment {
			return other, true
		}
	}
	return Result{}, false
}

func (p *page) deployment(r Report, name string) {
	p.line("## %s", name)
	p.line("")
	p.line("| load | policy | gap, tokens | × largest | later × | utilisation | queue p50 / p95 / p99, ms | first token p50 / p95 / p99, ms | control, B/s | B/request | tokens/s | cache hits | answers |")
	p.line("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, result := range r.Results {
		if result.Deployment.size() != name {
			continue
		}
		p.line("| %s | %s | %.0f | %.2f | %.2f | %.4f | %s | %s | %.0f | %.0f | %.0f | %.2f | %s |",
			result.Load, result.Policy, result.Gap, result.GapMultiple, result.LaterGapMultiple, result.Utilisation,
			result.Queue, result.FirstToken, result.Control.Total, result.Control.PerRequest,
			result.TokensPerSecond, result.CacheHits, answers(result.Answers))
	}
	p.line("")
}

// String returns the 50th, 95th and 99th percentile.
func (p Percentiles) String() string { return fmt.Sprintf("%.0f / %.0f / %.0f", p.P50, p.P95, p.P99) }

func answers(counts map[string]int) string {
	var parts []string
	for _, reason := range sortedKeys(counts) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(parts, ", ")
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// LoadNames returns the names of all loads, for messages.
func LoadNames() string {
	var names []string
	for _, load := range Loads() {
		names = append(names, load.Name)
	}
	return strings.Join(names, ", ")
}

// PolicyNames returns the names of all policies and variants, for messages.
func PolicyNames() string {
	var names []string
	for _, policy := range append(Policies(), Variants()...) {
		names = append(names, policy.Name)
	}
	return strings.Join(names, ", ")
}
