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
	// backloggedAfter is the wait after which a request makes its account backlogged.
	// Even with free slots, a grant can take a round trip between routers.
	backloggedAfter = 10 * time.Millisecond
)

// measurement collects the results of one run.
type measurement struct {
	options     Options
	fleet       *local.Fleet
	client      *http.Client
	callerGroup sync.WaitGroup

	// mu guards the fields below except controlSent.
	mu sync.Mutex
	// measuring is true after the warm-up until the end of the run.
	measuring bool
	// serviceByAccount is the service of each account in weighted tokens.
	serviceByAccount []float64
	// waiting holds each account's requests without a first token.
	waiting            []map[*request]bool
	largestRequest     float64
	gap                *fairness.Gap
	laterGap           *fairness.Gap
	utilisationSum     float64
	utilisationSamples int
	tokens             int
	answers            map[string]int64
	firstByteTimes     *hdrhistogram.Histogram
	smallAccountTimes  *hdrhistogram.Histogram
	// controlSent holds the control bytes sent during the measurement, by kind of
	// receiver.
	controlSent map[string]float64
}

// request is one request in flight.
type request struct {
	account int
	sentAt  time.Time
	// answering is true from the first token on.
	answering bool
	// cost is the cost so far in weighted tokens.
	cost      float64
	inputCost float64
}

func newMeasurement(options Options, fleet *local.Fleet, accounts int) *measurement {
	m := &measurement{
		options: options, fleet: fleet,
		client:           &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		serviceByAccount: make([]float64, accounts),
		waiting:          make([]map[*request]bool, accounts),
		gap:              fairness.New(accounts),
		laterGap:         fairness.New(accounts),
		answers:          make(map[string]int64),
		firstByteTimes:   newHistogram(), smallAccountTimes: newHistogram(),
	}
	for n := range m.waiting {
		m.waiting[n] = make(map[*request]bool)
	}
	return m
}

func (m *measurement) beginRequest(account, bytes int) *request {
	r := &request{account: account, sentAt: time.Now(), inputCost: inputCost(bytes)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[account][r] = true
	return r
}

func (m *measurement) endRequest(r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting[r.account], r)
}

// recordToken records a token of an answer. The first one ends the request's
// wait and adds the cost of its input.
func (m *measurement) recordToken(r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !r.answering {
		r.answering = true
		delete(m.waiting[r.account], r)
		m.addCost(r, r.inputCost)
		m.recordFirstByte(r)
	}
	m.addCost(r, 1)
	if m.measuring {
		m.tokens++
	}
}

func (m *measurement) addCost(r *request, cost float64) {
	r.cost += cost
	m.serviceByAccount[r.account] += cost
	m.largestRequest = max(m.largestRequest, r.cost)
}

func (m *measurement) recordFirstByte(r *request) {
	if !m.measuring {
		return
	}
	took := max(time.Since(r.sentAt).Microseconds(), 1)
	_ = m.firstByteTimes.RecordValue(min(took, histogramMax))
	if r.account == smallAccount {
		_ = m.smallAccountTimes.RecordValue(min(took, histogramMax))
	}
}

// countFailure counts a request without a complete answer, unless the run has
// ended.
func (m *measurement) countFailure(ctx context.Context, reason string) {
	if ctx.Err() == nil {
		m.countAnswer(reason)
	}
}

func (m *measurement) countAnswer(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.measuring {
		m.answers[reason]++
	}
}

// sampleRun waits for the warm-up and then samples the run for its duration.
func (m *measurement) sampleRun(ctx context.Context) error {
	if err := sleep(ctx, m.options.Warmup); err != nil {
		return err
	}
	before, err := m.readControlBytes(ctx)
	if err != nil {
		return err
	}
	m.setMeasuring(true)
	start := time.Now()
	for time.Since(start) < m.options.Duration {
		if err := sleep(ctx, sampleInterval); err != nil {
			return err
		}
		m.sample(time.Since(start) > m.options.Duration/2)
	}
	m.setMeasuring(false)
	after, err := m.readControlBytes(ctx)
	for side := range after {
		after[side] -= before[side]
	}
	m.controlSent = after
	return err
}

func (m *measurement) setMeasuring(on bool) {
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

// sample records the service, backlog and utilisation at this time. later is
// true in the second half of the run.
func (m *measurement) sample(later bool) {
	running := m.fleet.RunningRequests()
	m.mu.Lock()
	defer m.mu.Unlock()
	backlogged := m.backlogged(time.Now())
	m.gap.Sample(m.serviceByAccount, backlogged)
	if later {
		m.laterGap.Sample(m.serviceByAccount, backlogged)
	}
	if slices.Contains(backlogged, true) {
		m.utilisationSamples++
		m.utilisationSum += float64(running) / float64(m.options.Engines*m.options.Batch)
	}
}

// backlogged returns for each account whether one of its requests has waited
// for longer than backloggedAfter.
func (m *measurement) backlogged(now time.Time) []bool {
	backlogged := make([]bool, len(m.waiting))
	for account, requests := range m.waiting {
		for r := range requests {
			backlogged[account] = backlogged[account] || now.Sub(r.sentAt) > backloggedAfter
		}
	}
	return backlogged
}

// readControlBytes returns the control bytes that all routers have sent, by kind
// of receiver.
func (m *measurement) readControlBytes(ctx context.Context) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, r := range m.fleet.RouterAddresses {
		if err := m.addControlBytes(ctx, sums, r.Admin.String()); err != nil {
			return nil, eris.Wrap(err, "reading the metrics")
		}
	}
	return sums, nil
}

// addControlBytes adds the control bytes that one router has sent.
func (m *measurement) addControlBytes(ctx context.Context, sums map[string]float64, address string) error {
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
		addControlLine(sums, lines.Text())
	}
	return lines.Err()
}

const controlPrefix = `nutmeglock_control_bytes_total{direction="sent",side="`

// addControlLine adds the value of a line of metrics, if it is a count of
// control bytes sent.
func addControlLine(sums map[string]float64, line string) {
	rest, found := strings.CutPrefix(line, controlPrefix)
	if !found {
		return
	}
	side, value, _ := strings.Cut(rest, `"} `)
	if bytes, err := strconv.ParseFloat(value, 64); err == nil {
		sums[side] += bytes
	}
}

const microsecondsPerMillisecond = 1000

// percentile returns a percentile of a histogram in milliseconds.
func percentile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / microsecondsPerMillisecond
}

func (m *measurement) result(load string, policy Policy) Result {
	seconds := m.options.Duration.Seconds()
	r := Result{
		Load: load, Policy: policy, Gap: m.gap.Widest(), LargestRequest: m.largestRequest,
		GapMultiple:      m.gap.Widest() / max(m.largestRequest, 1),
		LaterGapMultiple: m.laterGap.Widest() / max(m.largestRequest, 1),
		Utilisation:      m.utilisationSum / float64(max(m.utilisationSamples, 1)),
		FirstByteP50:     percentile(m.firstByteTimes, 50), FirstByteP99: percentile(m.firstByteTimes, 99),
		SmallAccountP99: percentile(m.smallAccountTimes, 99),
		TokensPerSecond: float64(m.tokens) / seconds,
		Answers:         m.answers, Control: make(map[string]float64),
	}
	for side, bytes := range m.controlSent {
		r.Control[side] = bytes / seconds / float64(len(m.fleet.RouterAddresses))
	}
	r.PeerBytesPerRequest = m.controlSent["peer"] / float64(max(m.answers["answered"], 1))
	return r
}
