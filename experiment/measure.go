package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeglock.example/nutmeglock/fairness"
	"nutmeglock.example/nutmeglock/refusal"
)

const (
	// settleTime is excluded from the measurement at the start of a run, while
	// limits and estimates are still being learnt.
	settleTime = 10 * time.Second
	// laterGapStart is when slots taken at the start without competition have
	// been released; it is more than twice the usual residence.
	laterGapStart = 30 * time.Second
	// utilisationInterval and gapInterval are the sampling intervals of
	// utilisation and service.
	utilisationInterval = 20 * time.Millisecond
	gapInterval         = 250 * time.Millisecond
	// queuedAfter is the wait after which a request counts as queued. Even with free
	// slots, a grant takes a round trip between data centres plus batching delays.
	queuedAfter = 10 * time.Millisecond
)

// metrics collects the measurements of a run. Only the model service counts
// towards the fairness gap and utilisation; plain calls contribute to control
// traffic and answers.
type metrics struct {
	sim            *simulation
	accounts       []*accountMetrics
	largestRequest float64
	answers        map[string]int
	queue          *hdrhistogram.Histogram
	firstToken     *hdrhistogram.Histogram
	plainQueue     *hdrhistogram.Histogram
	// usedSlots and totalSlots are sums over the samples in which a request was
	// queued; the strict ones are over those in which any request waited.
	usedSlots, totalSlots             float64
	strictUsedSlots, strictTotalSlots float64
	samples, queuedSamples            int
	// gap is measured from settleTime on, laterGap from laterGapStart on.
	gap, laterGap *fairness.Gap
	requests      int
	// falseRefusals counts requests refused because of their deadline whose turn
	// came before it; falseRefusalsByHalf those whose turn came in half the time.
	falseRefusals, falseRefusalsByHalf int
}

// accountMetrics are the measurements of one account at the model service.
type accountMetrics struct {
	waiting int
	// emptied is true if no request waited at some time since the last sample.
	emptied bool
	// service is the cost of the answered requests.
	service  float64
	requests int
	answered int
	// lastStart is when a request was last started, or when requests began to
	// wait if that is later. longestPause is the longest time from then to the
	// next start.
	lastStart    time.Duration
	longestPause time.Duration
	queue        *hdrhistogram.Histogram
	residence    *hdrhistogram.Histogram
	// running lists the requests in flight in order of start.
	running []*request
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	const (
		most   = int64(time.Hour / time.Microsecond)
		digits = 2
	)
	return hdrhistogram.New(1, most, digits)
}

func recordTime(h *hdrhistogram.Histogram, value time.Duration) {
	// Runs last minutes, so no value exceeds the histogram's limit of one hour.
	_ = h.RecordValue(max(value.Microseconds(), 1))
}

func newMetrics(sim *simulation) *metrics {
	m := &metrics{
		sim: sim, answers: make(map[string]int),
		queue: newHistogram(), firstToken: newHistogram(), plainQueue: newHistogram(),
	}
	for range sim.deployment.Accounts {
		m.accounts = append(m.accounts, &accountMetrics{
			queue: newHistogram(), residence: newHistogram(),
		})
	}
	m.gap = fairness.New(sim.deployment.Accounts)
	m.laterGap = fairness.New(sim.deployment.Accounts)
	return m
}

// start schedules the samples.
func (m *metrics) start() {
	m.sim.clock.runEvery(settleTime, utilisationInterval, m.sampleUtilisation)
	m.sim.clock.runEvery(settleTime, gapInterval, m.sampleGap)
}

// isMeasured reports whether a request counts towards the time percentiles.
func (m *metrics) isMeasured(r *request) bool {
	return r.service == modelService && r.arrived >= settleTime
}

func (m *metrics) recordArrival(r *request) {
	m.requests++
	if r.service == modelService {
		m.accounts[r.account].requests++
		m.largestRequest = max(m.largestRequest, float64(r.cost()))
	}
}

// addWaiting adds change to the number of an account's waiting requests.
func (m *metrics) addWaiting(r *request, change int) {
	if r.service != modelService {
		return
	}
	a := m.accounts[r.account]
	if a.waiting == 0 {
		a.lastStart = m.sim.clock.elapsed
	}
	a.waiting += change
	if a.waiting == 0 {
		a.emptied = true
	}
}

func (m *metrics) recordStart(r *request) {
	r.started = m.sim.clock.elapsed
	wait := r.started - r.arrived
	if r.service == plainService {
		recordTime(m.plainQueue, wait)
		return
	}
	a := m.accounts[r.account]
	a.longestPause = max(a.longestPause, r.started-a.lastStart)
	a.lastStart = r.started
	a.running = append(a.running, r)
	if m.isMeasured(r) {
		recordTime(m.queue, wait)
		recordTime(a.queue, wait)
	}
}

func (m *metrics) recordFirstToken(r *request) {
	if m.isMeasured(r) {
		recordTime(m.firstToken, m.sim.clock.elapsed-r.arrived)
	}
}

func (m *metrics) recordAnswer(r *request) {
	if r.service != modelService {
		return
	}
	a := m.accounts[r.account]
	a.answered++
	a.service += r.job.costAt(r.job.endStep)
	if m.isMeasured(r) {
		recordTime(a.residence, m.sim.clock.elapsed-r.started)
	}
	a.running = slices.DeleteFunc(a.running, func(other *request) bool { return other == r })
}

func (m *metrics) recordEnd(_ *request, reason refusal.Reason) {
	if reason == "" {
		reason = "answered"
	}
	m.answers[string(reason)]++
}

func (m *metrics) sampleUtilisation() {
	used, total := 0, 0
	for _, e := range m.sim.engines[:m.sim.deployment.Models] {
		used += e.running
		total += e.batch
	}
	waiting, queued := m.waitingWork()
	m.samples++
	if waiting {
		m.strictUsedSlots += float64(used)
		m.strictTotalSlots += float64(total)
	}
	if queued {
		m.queuedSamples++
		m.usedSlots += float64(used)
		m.totalSlots += float64(total)
	}
}

// waitingWork reports whether any model request waits, and whether one has
// waited for longer than queuedAfter.
func (m *metrics) waitingWork() (waiting, queued bool) {
	for _, r := range m.sim.routers {
		for _, q := range r.queues {
			if q.key.service != modelService || q.len() == 0 {
				continue
			}
			waiting = true
			if m.sim.clock.elapsed-q.oldest().arrived > queuedAfter {
				return true, true
			}
		}
	}
	return waiting, false
}

func (m *metrics) sampleGap() {
	services := make([]float64, len(m.accounts))
	backlogged := make([]bool, len(m.accounts))
	for i, a := range m.accounts {
		services[i] = a.service
		backlogged[i] = a.waiting > 0 && !a.emptied
		a.emptied = a.waiting == 0
		for _, r := range a.running {
			services[i] += m.servedSoFar(r)
		}
		services[i] /= float64(m.sim.weight(i))
	}
	m.gap.Sample(services, backlogged)
	if m.sim.clock.elapsed >= laterGapStart {
		m.laterGap.Sample(services, backlogged)
	}
}

// servedSoFar returns the weighted tokens that a request in flight has received.
func (m *metrics) servedSoFar(r *request) float64 {
	if !r.job.generating {
		return 0
	}
	r.engine.advance()
	return r.job.costAt(r.engine.steps)
}

// controlTraffic counts control messages and their bytes.
type controlTraffic struct {
	messages     int
	messageBytes int
	headerBytes  int
	reportBytes  int
}

func (c *controlTraffic) countMessage(size int) {
	c.messages++
	c.messageBytes += size + frameHeaderBytes
	c.headerBytes += packetHeaderBytes
}

func (c *controlTraffic) countLoadReport() { c.reportBytes += loadReportBytes }
