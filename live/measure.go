package live

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fairness"
	"nutmeglock.example/nutmeglock/local"
)

const (
	sampleInterval = 50 * time.Millisecond
	// waitingAfter is the wait from which a request counts as waiting: a grant
	// takes a round trip in any case.
	waitingAfter = 10 * time.Millisecond
)

// measure follows the requests of one run.
type measure struct {
	options Options
	fleet   *local.Fleet
	client  *http.Client
	callers sync.WaitGroup

	mu        sync.Mutex
	measuring bool
	services  []float64
	waiting   []map[*request]bool
	largest   float64
	gap       *fairness.Gap
	later     *fairness.Gap
	used      float64
	samples   int
	tokens    int
	answers   map[string]int64
	first     *hdrhistogram.Histogram
	small     *hdrhistogram.Histogram
	control   map[string]float64
}

// request is one request in flight.
type request struct {
	account int
	began   time.Time
	started bool
	cost    float64
	input   float64
}

func newMeasure(options Options, fleet *local.Fleet, accounts int) *measure {
	m := &measure{
		options: options, fleet: fleet,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		services: make([]float64, accounts),
		waiting:  make([]map[*request]bool, accounts),
		gap:      fairness.New(accounts),
		later:    fairness.New(accounts),
		answers:  make(map[string]int64),
		first:    newHistogram(), small: newHistogram(),
	}
	for n := range m.waiting {
		m.waiting[n] = make(map[*request]bool)
	}
	return m
}

func (m *measure) begin(account, bytes int) *request {
	r := &request{account: account, began: time.Now(), input: inputCost(bytes)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[account][r] = true
	return r
}

func (m *measure) end(r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting[r.account], r)
}

func (m *measure) token(r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !r.started {
		r.started = true
		delete(m.waiting[r.account], r)
		m.charge(r, r.input)
		m.firstByte(r)
	}
	m.charge(r, 1)
	if m.measuring {
		m.tokens++
	}
}

func (m *measure) charge(r *request, cost float64) {
	r.cost += cost
	m.services[r.account] += cost
	m.largest = max(m.largest, r.cost)
}

func (m *measure) firstByte(r *request) {
	if !m.measuring {
		return
	}
	took := max(time.Since(r.began).Microseconds(), 1)
	_ = m.first.RecordValue(min(took, histogramMost))
	if r.account == smallAccount {
		_ = m.small.RecordValue(min(took, histogramMost))
	}
}

// failed counts a request without a whole answer, unless the run is over.
func (m *measure) failed(ctx context.Context, reason string) {
	if ctx.Err() == nil {
		m.count(reason)
	}
}

func (m *measure) count(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.measuring {
		m.answers[reason]++
	}
}

// watch samples the run until its duration has passed.
func (m *measure) watch(ctx context.Context) error {
	if err := sleep(ctx, m.options.Warmup); err != nil {
		return err
	}
	before, err := m.controlBytes(ctx)
	if err != nil {
		return err
	}
	m.setMeasuring(true)
	begun := time.Now()
	for time.Since(begun) < m.options.Duration {
		if err := sleep(ctx, sampleInterval); err != nil {
			return err
		}
		m.sample(time.Since(begun) > m.options.Duration/2)
	}
	m.setMeasuring(false)
	after, err := m.controlBytes(ctx)
	for side := range after {
		after[side] -= before[side]
	}
	m.control = after
	return err
}

func (m *measure) setMeasuring(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measuring = on
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "measuring")
	case <-time.After(d):
		return nil
	}
}

func (m *measure) sample(later bool) {
	running := m.fleet.Running()
	m.mu.Lock()
	defer m.mu.Unlock()
	backlogged := m.backlogged(time.Now())
	m.gap.Sample(m.services, backlogged)
	if later {
		m.later.Sample(m.services, backlogged)
	}
	if slices.Contains(backlogged, true) {
		m.samples++
		m.used += float64(running) / float64(m.options.Engines*m.options.Batch)
	}
}

// backlogged returns for each account whether one of its requests waits for
// longer than a grant takes.
func (m *measure) backlogged(now time.Time) []bool {
	backlogged := make([]bool, len(m.waiting))
	for account, requests := range m.waiting {
		for r := range requests {
			backlogged[account] = backlogged[account] || now.Sub(r.began) > waitingAfter
		}
	}
	return backlogged
}

// controlBytes returns what all routers sent so far, by other side.
func (m *measure) controlBytes(ctx context.Context) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, r := range m.fleet.Routers {
		if err := m.addMetrics(ctx, sums, r.Admin.String()); err != nil {
			return nil, eris.Wrap(err, "reading the metrics")
		}
	}
	return sums, nil
}

// addMetrics adds what one router sent so far.
func (m *measure) addMetrics(ctx context.Context, sums map[string]float64, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return err
	}
	answer, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		addControl(sums, lines.Text())
	}
	return lines.Err()
}

const controlPrefix = `nutmeglock_control_bytes_total{direction="sent",side="`

// addControl adds one line of metrics, if it is a count of control bytes sent.
func addControl(sums map[string]float64, line string) {
	rest, found := strings.CutPrefix(line, controlPrefix)
	if !found {
		return
	}
	side, value, _ := strings.Cut(rest, `"} `)
	if bytes, err := strconv.ParseFloat(value, 64); err == nil {
		sums[side] += bytes
	}
}

const microseconds = 1000

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / microseconds
}

func (m *measure) result(load string, policy Policy) Result {
	seconds := m.options.Duration.Seconds()
	r := Result{
		Load: load, Policy: policy, Gap: m.gap.Widest(), LargestRequest: m.largest,
		GapMultiple:      m.gap.Widest() / max(m.largest, 1),
		LaterGapMultiple: m.later.Widest() / max(m.largest, 1),
		Utilisation:      m.used / float64(max(m.samples, 1)),
		FirstByteP50:     milliseconds(m.first, 50), FirstByteP99: milliseconds(m.first, 99),
		SmallP99:        milliseconds(m.small, 99),
		TokensPerSecond: float64(m.tokens) / seconds,
		Answers:         m.answers, Control: make(map[string]float64),
	}
	for side, bytes := range m.control {
		r.Control[side] = bytes / seconds / float64(len(m.fleet.Routers))
	}
	r.ControlPerRequest = m.control["peer"] / float64(max(m.answers["answered"], 1))
	return r
}
