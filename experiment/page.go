package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// The users' requirements, which the report compares the figures with.
const (
	goalGap          = 2.0
	goalUtilisation  = 0.98
	goalControl      = 3000.0
	goalSmallAccount = 1.5
	// minJudgedQueued is the least QueuedFraction at which utilisation is judged.
	// Below it, the samples only include hand-overs of slots, which take a few
	// milliseconds.
	minJudgedQueued = 0.01
)

// WritePage writes the report as Markdown tables. With several seeds, each cell
// holds the mean and, after a slash, the worst value.
func (r Report) WritePage(w io.Writer, title string) error {
	p := &page{rows: r.rows()}
	p.line("# %s", title)
	p.line("")
	p.line("Made by `nutmeglock experiment`: %.0f s of virtual time a run, seeds %s, figures from after 10 s of start.", r.Duration, joinSeeds(r.Seeds))
	p.line("They say what the decisions do in a model (package experiment), not what routers do on a network.")
	p.line("")
	p.line("- **Gap**: the largest difference in weighted tokens, over weight, between two accounts over any interval in which both had work waiting, as a multiple of the largest request's cost; *later* counts intervals after 30 s only.")
	p.line("- **Utilisation**: the used part of the model upstreams' batches while a request had waited for over 10 ms; *queued* is the part of the time in which one had.")
	p.line("- **Control**: bytes per second and router, each counted once at its sender: messages, a TCP and IP header for each, and load reports over HTTP.")
	p.line("- Several seeds: mean / worst.")
	p.line("")
	p.writeGoals()
	p.writeSmallAccount(r)
	p.writeScaling()
	p.writeDeployments()
	_, err := io.WriteString(w, p.text.String())
	return err
}

// page collects the text of a report.
type page struct {
	text strings.Builder
	rows []row
}

// row holds the results of one combination for all seeds.
type row struct{ results []Result }

func (r Report) rows() []row {
	var rows []row
	indexes := make(map[string]int)
	for _, result := range r.Results {
		key := result.Deployment.label() + "/" + result.Load + "/" + result.Policy
		index, ok := indexes[key]
		if !ok {
			index = len(rows)
			indexes[key] = index
			rows = append(rows, row{})
		}
		rows[index].results = append(rows[index].results, result)
	}
	return rows
}

func (r row) first() Result { return r.results[0] }

func (r row) isScaled() bool { return r.first().Deployment.Name == scaledName }

// meanAndWorst returns the mean and the largest value of a figure for which
// larger is worse.
func (r row) meanAndWorst(figure func(Result) float64) (mean, worst float64) {
	worst = figure(r.first())
	for _, result := range r.results {
		mean += figure(result) / float64(len(r.results))
		worst = max(worst, figure(result))
	}
	return mean, worst
}

// cell formats the mean and the worst value, in bold if the worst exceeds goal.
func (r row) cell(figure func(Result) float64, format string, goal float64) string {
	mean, worst := r.meanAndWorst(figure)
	text := fmt.Sprintf(format, mean)
	if len(r.results) > 1 {
		text += " / " + fmt.Sprintf(format, worst)
	}
	if worst > goal {
		return "**" + text + "**"
	}
	return text
}

// utilisationCell formats the mean and the least utilisation, in bold if the
// least misses its goal.
func (r row) utilisationCell() string {
	mean, worst := r.meanAndWorst(func(r Result) float64 { return -r.Utilisation })
	text := fmt.Sprintf("%.4f", -mean)
	if len(r.results) > 1 {
		text += fmt.Sprintf(" / %.4f", -worst)
	}
	if queued, _ := r.meanAndWorst(queuedFractionOf); -worst < goalUtilisation && queued >= minJudgedQueued {
		return "**" + text + "**"
	}
	return text
}

func gapOf(r Result) float64             { return r.GapMultiple }
func laterGapOf(r Result) float64        { return r.LaterGapMultiple }
func queuedFractionOf(r Result) float64  { return r.QueuedFraction }
func controlOf(r Result) float64         { return r.Control.Total }
func bytesPerRequestOf(r Result) float64 { return r.Control.PerRequest }
func tokensPerSecondOf(r Result) float64 { return r.TokensPerSecond }
func cacheHitsOf(r Result) float64       { return r.CacheHits }
func messagesOf(r Result) float64        { return r.Control.Messages }

// noGoal is the goal of figures that have none; no value exceeds it.
const noGoal = math.MaxFloat64

func (p *page) line(format string, args ...any) {
	fmt.Fprintf(&p.text, format+"\n", args...)
}

func joinSeeds(seeds []uint64) string {
	var parts []string
	for _, seed := range seeds {
		parts = append(parts, fmt.Sprint(seed))
	}
	return strings.Join(parts, ", ")
}

// label returns the name and the number of routers, which distinguishes scaled
// deployments.
func (d Deployment) label() string { return fmt.Sprintf("%s, %d routers", d.Name, d.Routers) }

// writeGoals writes the table that compares the first policy's figures with the goals.
func (p *page) writeGoals() {
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
			r.cell(gapOf, "%.2f", goalGap), r.cell(laterGapOf, "%.2f", goalGap), r.utilisationCell(),
			r.cell(queuedFractionOf, "%.3f", noGoal), r.cell(controlOf, "%.0f", goalControl))
	}
	p.line("")
}

// writeScaling writes the table of figures by number of routers.
func (p *page) writeScaling() {
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
			r.cell(gapOf, "%.2f", goalGap), r.cell(laterGapOf, "%.2f", goalGap), r.utilisationCell(),
			r.cell(controlOf, "%.0f", goalControl), r.cell(messagesOf, "%.0f", noGoal), r.cell(bytesPerRequestOf, "%.0f", noGoal))
	}
	p.line("")
}

// boldUnlessReached formats a value, in bold if it misses its goal.
func boldUnlessReached(value float64, reached bool, format string) string {
	text := fmt.Sprintf(format, value)
	if reached {
		return text
	}
	return "**" + text + "**"
}

// writeSmallAccount writes the table of the small account's queue times with
// and without the flood.
func (p *page) writeSmallAccount(r Report) {
	if !slices.ContainsFunc(p.rows, func(r row) bool { return r.first().Load == flood().Name }) {
		return
	}
	p.line("The small account beside a flood; allowed is %.1f times its p99 without the flood and one of its residences:", goalSmallAccount)
	p.line("")
	p.line("| deployment, seed | policy | p99 without, ms | p99 beside, ms | allowed, ms | its answers without / beside |")
	p.line("|---|---|---|---|---|---|")
	for _, flooded := range r.Results {
		load, _ := LoadByName(flooded.Load)
		if load.reference == "" || flooded.Deployment.Name == scaledName {
			continue
		}
		reference, ok := r.counterpart(flooded, load.reference)
		if !ok {
			continue
		}
		quietAccount, floodAccount := reference.Accounts[smallAccount], flooded.Accounts[smallAccount]
		if floodAccount.Queue.Max == 0 {
			p.line("| %s, %d | %s | %.0f | **not served** | | %d / %d |", flooded.Deployment.Name, flooded.Seed, flooded.Policy,
				quietAccount.Queue.P99, quietAccount.Answered, floodAccount.Answered)
			continue
		}
		allowed := goalSmallAccount*quietAccount.Queue.P99 + quietAccount.Residence.P50
		p.line("| %s, %d | %s | %.0f | %s | %.0f | %d / %d |", flooded.Deployment.Name, flooded.Seed, flooded.Policy,
			quietAccount.Queue.P99, boldUnlessReached(floodAccount.Queue.P99, floodAccount.Queue.P99 <= allowed, "%.0f"), allowed, quietAccount.Answered, floodAccount.Answered)
	}
	p.line("")
}

// counterpart returns the result of another load with the same deployment,
// policy and seed, and whether there is one.
func (r Report) counterpart(result Result, load string) (Result, bool) {
	for _, other := range r.Results {
		if other.Load == load && other.Policy == result.Policy && other.Seed == result.Seed && other.Deployment == result.Deployment {
			return other, true
		}
	}
	return Result{}, false
}

// writeDeployments writes a table of all figures for each of the users' deployments.
func (p *page) writeDeployments() {
	name := ""
	for _, r := range p.rows {
		if r.isScaled() {
			continue
		}
		if next := r.first().Deployment.label(); next != name {
			name = next
			p.line("## %s", name)
			p.line("")
			p.line("| load | policy | gap × | later × | utilisation | queue p50, p95, p99, ms | first token p50, p95, p99, ms | control, B/s | B/request | tokens/s | cache hits | answers |")
			p.line("|---|---|---|---|---|---|---|---|---|---|---|---|")
		}
		p.line("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |",
			r.first().Load, r.first().Policy, r.cell(gapOf, "%.2f", noGoal), r.cell(laterGapOf, "%.2f", noGoal), r.utilisationCell(),
			r.first().Queue, r.first().FirstToken, r.cell(controlOf, "%.0f", noGoal), r.cell(bytesPerRequestOf, "%.0f", noGoal),
			r.cell(tokensPerSecondOf, "%.0f", noGoal), r.cell(cacheHitsOf, "%.2f", noGoal), joinAnswers(r.first().Answers))
	}
	p.line("")
	p.line("Percentiles and answers are of the first seed; those of each account and seed are in the JSON form (`--json`).")
}

// String returns the 50th, 95th and 99th percentiles.
func (p Percentiles) String() string { return fmt.Sprintf("%.0f, %.0f, %.0f", p.P50, p.P95, p.P99) }

func joinAnswers(counts map[string]int) string {
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

// LoadNames returns the names of all loads, separated by commas.
func LoadNames() string {
	var names []string
	for _, load := range Loads() {
		names = append(names, load.Name)
	}
	return strings.Join(names, ", ")
}

// PolicyNames returns the names of all policies and variants, separated by commas.
func PolicyNames() string {
	var names []string
	for _, policy := range append(Policies(), Variants()...) {
		names = append(names, policy.Name)
	}
	return strings.Join(names, ", ")
}
