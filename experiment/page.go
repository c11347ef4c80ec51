package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// goals are the measured figures that the users ask for.
const (
	goalGap         = 2.0
	goalUtilisation = 0.98
	goalControl     = 3000.0
	goalSmall       = 1.5
	// judgedQueued is the part of the time in which work has to have queued for
	// utilisation to be judged. Below it only hand-overs of some milliseconds
	// were caught.
	judgedQueued = 0.01
)

// WritePage writes the report as a page of tables in Markdown. Where there are
// several seeds, a row holds means and, after a slash, the worst.
func (r Report) WritePage(w io.Writer, title string) error {
	p := &page{rows: r.rows()}
	p.line("# %s", title)
	p.line("")
	p.line("Made by `nutmeglock experiment`: %.0f s of virtual time a run, seeds %s, figures from after 10 s of start.", r.Duration, joined(r.Seeds))
	p.line("They say what the decisions do in a model (package experiment), not what routers do on a network.")
	p.line("")
	p.line("- **Gap**: the largest difference in weighted tokens, over weight, between two accounts over any interval in which both had work waiting, as a multiple of the largest request's cost; *later* counts intervals after 30 s only.")
	p.line("- **Utilisation**: the used part of the model upstreams' batches while a request had waited for over 10 ms; *queued* is the part of the time in which one had.")
	p.line("- **Control**: bytes per second and router, each counted once at its sender: messages, a TCP and IP header for each, and load reports over HTTP.")
	p.line("- Several seeds: mean / worst.")
	p.line("")
	p.goals()
	p.small(r)
	p.slope()
	p.deployments()
	_, err := io.WriteString(w, p.text.String())
	return err
}

type page struct {
	text strings.Builder
	rows []row
}

// row is the results of one combination with all seeds.
type row struct{ results []Result }

func (r Report) rows() []row {
	var rows []row
	places := make(map[string]int)
	for _, result := range r.Results {
		key := result.Deployment.size() + "/" + result.Load + "/" + result.Policy
		place, ok := places[key]
		if !ok {
			place = len(rows)
			places[key] = place
			rows = append(rows, row{})
		}
		rows[place].results = append(rows[place].results, result)
	}
	return rows
}

func (r row) first() Result { return r.results[0] }

func (r row) isScaled() bool { return r.first().Deployment.Name == scaledName }

// mean and the worst of a figure, of which more is worse.
func (r row) mean(of func(Result) float64) (mean, worst float64) {
	worst = of(r.first())
	for _, result := range r.results {
		mean += of(result) / float64(len(r.results))
		worst = max(worst, of(result))
	}
	return mean, worst
}

// figure writes the mean and the worst, in bold when the worst is beyond goal.
func (r row) figure(of func(Result) float64, format string, goal float64) string {
	mean, worst := r.mean(of)
	text := fmt.Sprintf(format, mean)
	if len(r.results) > 1 {
		text += " / " + fmt.Sprintf(format, worst)
	}
	if worst > goal {
		return "**" + text + "**"
	}
	return text
}

// utilisation writes the mean and the least utilisation.
func (r row) utilisation() string {
	mean, worst := r.mean(func(x Result) float64 { return -x.Utilisation })
	text := fmt.Sprintf("%.4f", -mean)
	if len(r.results) > 1 {
		text += fmt.Sprintf(" / %.4f", -worst)
	}
	if queued, _ := r.mean(queuedOf); -worst < goalUtilisation && queued >= judgedQueued {
		return "**" + text + "**"
	}
	return text
}

func gapOf(x Result) float64      { return x.GapMultiple }
func laterOf(x Result) float64    { return x.LaterGapMultiple }
func queuedOf(x Result) float64   { return x.QueuedTime }
func controlOf(x Result) float64  { return x.Control.Total }
func requestOf(x Result) float64  { return x.Control.PerRequest }
func tokensOf(x Result) float64   { return x.TokensPerSecond }
func cacheOf(x Result) float64    { return x.CacheHits }
func messagesOf(x Result) float64 { return x.Control.Messages }

// noGoal is beyond any figure.
const noGoal = math.MaxFloat64

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

// goals lists, for the chosen policy, how far each goal is reached.
func (p *page) goals() {
	p.line("## Goals, by the fair policy")
	p.line("")
	p.line("Bold figures miss their goal. Utilisation is not judged where work had queued for less than a hundredth of the time.")
	p.line("")
	p.line("| deployment | load | gap ≤ %.0f × | later | utilisation ≥ %.2f | queued | control < %.0f B/s |", goalGap, goalUtilisation, goalControl)
	p.line("|---|---|---|---|---|---|---|")
	for _, r := range p.rows {
		if r.first().Policy != Policies()[0].Name || r.isScaled() {
			continue
		}
		p.line("| %s | %s | %s | %s | %s | %s | %s |", r.first().Deployment.Name, r.first().Load,
			r.figure(gapOf, "%.2f", goalGap), r.figure(laterOf, "%.2f", goalGap), r.utilisation(),
			r.figure(queuedOf, "%.3f", noGoal), r.figure(controlOf, "%.0f", goalControl))
	}
	p.line("")
}

// slope lists how the figures grow with the number of routers.
func (p *page) slope() {
	if !slices.ContainsFunc(p.rows, row.isScaled) {
		return
	}
	p.line("## Larger fleets, by the fair policy")
	p.line("")
	p.line("Upstreams and accounts grow with the routers, in today's proportion; each router has the same load as today.")
	p.line("")
	p.line("| routers | load | gap × | later | utilisation | control, B/s | messages/s | B/request |")
	p.line("|---|---|---|---|---|---|---|---|")
	for _, r := range p.rows {
		if !r.isScaled() {
			continue
		}
		p.line("| %d | %s | %s | %s | %s | %s | %s | %s |", r.first().Deployment.Routers, r.first().Load,
			r.figure(gapOf, "%.2f", goalGap), r.figure(laterOf, "%.2f", goalGap), r.utilisation(),
			r.figure(controlOf, "%.0f", goalControl), r.figure(messagesOf, "%.0f", noGoal), r.figure(requestOf, "%.0f", noGoal))
	}
	p.line("")
}

func judged(value float64, reached bool, format string) string {
	text := fmt.Sprintf(format, value)
	if reached {
		return text
	}
	return "**" + text + "**"
}

// small compares the small account's times beside a flood with those without.
func (p *page) small(r Report) {
	if !slices.ContainsFunc(p.rows, func(r row) bool { return r.first().Load == flood().Name }) {
		return
	}
	p.line("The small account beside a flood; allowed is %.1f times its p99 without the flood and one of its residences:", goalSmall)
	p.line("")
	p.line("| deployment, seed | policy | p99 without, ms | p99 beside, ms | allowed, ms | its answers without / beside |")
	p.line("|---|---|---|---|---|---|")
	for _, beside := range r.Results {
		load, _ := LoadByName(beside.Load)
		if load.reference == "" || beside.Deployment.Name == scaledName {
			continue
		}
		without, ok := r.matching(beside, load.reference)
		if !ok {
			continue
		}
		a, b := without.Accounts[smallAccount], beside.Accounts[smallAccount]
		if b.Queue.Max == 0 {
			p.line("| %s, %d | %s | %.0f | **not served** | | %d / %d |", beside.Deployment.Name, beside.Seed, beside.Policy,
				a.Queue.P99, a.Answered, b.Answered)
			continue
		}
		allowed := goalSmall*a.Queue.P99 + a.Residence.P50
		p.line("| %s, %d | %s | %.0f | %s | %.0f | %d / %d |", beside.Deployment.Name, beside.Seed, beside.Policy,
			a.Queue.P99, judged(b.Queue.P99, b.Queue.P99 <= allowed, "%.0f"), allowed, a.Answered, b.Answered)
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

// deployments lists everything, for each deployment of the users.
func (p *page) deployments() {
	name := ""
	for _, r := range p.rows {
		if r.isScaled() {
			continue
		}
		if next := r.first().Deployment.size(); next != name {
			name = next
			p.line("## %s", name)
			p.line("")
			p.line("| load | policy | gap × | later × | utilisation | queue p50, p95, p99, ms | first token p50, p95, p99, ms | control, B/s | B/request | tokens/s | cache hits | answers |")
			p.line("|---|---|---|---|---|---|---|---|---|---|---|---|")
		}
		p.line("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |",
			r.first().Load, r.first().Policy, r.figure(gapOf, "%.2f", noGoal), r.figure(laterOf, "%.2f", noGoal), r.utilisation(),
			r.first().Queue, r.first().FirstToken, r.figure(controlOf, "%.0f", noGoal), r.figure(requestOf, "%.0f", noGoal),
			r.figure(tokensOf, "%.0f", noGoal), r.figure(cacheOf, "%.2f", noGoal), answers(r.first().Answers))
	}
	p.line("")
	p.line("Percentiles and answers are of the first seed; those of each account and seed are in the JSON form (`--json`).")
}

// String returns the 50th, 95th and 99th percentile.
func (p Percentiles) String() string { return fmt.Sprintf("%.0f, %.0f, %.0f", p.P50, p.P95, p.P99) }

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
