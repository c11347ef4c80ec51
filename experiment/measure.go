package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmeglock.example/nutmeglock/fairness"
	"nutmeglock.example/nutmeglock/refusal"
)

const (
	// settleTime is left out at the beginning of a run: limits and estimates
	// are learnt in it.
	settleTime = 10 * time.Second
	// laterTime is when the slots that were taken at the start, when nobody
	// else asked for them, have been given back: more than twice a usual
	// residence.
	laterTime = 30 * time.Second
	// busyEvery and gapEvery are how often utilisation and service are sampled.
	busyEvery = 20 * time.Millisecond
	gapEvery  = 250 * time.Millisecond
	// queued is how long a request has waited when work is said to wait: a
	// grant takes a round trip between data centres and its batching.
	queued = 10 * time.Millisecond
)

// measure collects what a run gives. Only the model service counts towards
// the fairness gap and utilisation; the accounts' plain calls load the control
// messages and the answers.
type measure struct {
	model    *model
	accounts []*accountMeasure
	largest  float64
	answers  map[string]int
	queue    *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	plain    *hdrhistogram.Histogram
	// busy and room are sums over samples in which work had queued; strictBusy
	// and strictRoom over those in which any request waited at all.
	busy, room             float64
	strictBusy, strictRoom float64
	samples, queuedSamples int
	// gap counts from settleTime on, later from laterTime on.
	gap, later *fairness.Gap
	requests   int
	// falseRefusals are requests refused for their deadline whose turn came
	// before it, falseByHalf those whose turn came in half of the time.
	falseRefusals, falseByHalf int
}

type accountMeasure struct {
	waiting  int
	emptied  bool
	service  float64
	requests int
	answered int
	// lastStart is when a request was started last or none waited, pause the
	// longest time from there on in which some waited.
	lastStart time.Duration
	pause     time.Duration
	queue     *hdrhistogram.Histogram
	residence *hdrhistogram.Histogram
	// running are the requests in flight, in the order of their start.
	running []*request
}

func newHistogram() *hdrhistogram.Histogram {
	const (
		most   = int64(time.Hour / time.Microsecond)
		digits = 2
	)
	return hdrhistogram.New(1, most, digits)
}

func record(h *hdrhistogram.Histogram, value time.Duration) {
	// A value beyond the histogram's hour can't come from a run of minutes.
	_ = h.RecordValue(max(value.Microseconds(), 1))
}

func newMeasure(m *model) *measure {
	x := &measure{
		model: m, answers: make(map[string]int),
		queue: newHistogram(), first: newHistogram(), plain: newHistogram(),
	}
	for range m.deployment.Accounts {
		x.accounts = append(x.accounts, &accountMeasure{
			queue: newHistogram(), residence: newHistogram(),
		})
	}
	x.gap = fairness.New(m.deployment.Accounts)
	x.later = fairness.New(m.deployment.Accounts)
	return x
}

func (x *measure) begin() {
	x.model.clock.every(settleTime, busyEvery, x.sampleBusy)
	x.model.clock.every(settleTime, gapEvery, x.sampleGap)
}

func (x *measure) counts(r *request) bool {
	return r.service == modelService && r.arrived >= settleTime
}

func (x *measure) arrived(r *request) {
	x.requests++
	if r.service == modelService {
		x.accounts[r.account].requests++
		x.largest = max(x.largest, float64(r.cost()))
	}
}

// waits changes how many of an account's requests wait.
func (x *measure) waits(r *request, change int) {
	if r.service != modelService {
		return
	}
	a := x.accounts[r.account]
	if a.waiting == 0 {
		a.lastStart = x.model.clock.elapsed
	}
	a.waiting += change
	if a.waiting == 0 {
		a.emptied = true
	}
}

func (x *measure) started(r *request) {
	r.started = x.model.clock.elapsed
	wait := r.started - r.arrived
	if r.service == plainService {
		record(x.plain, wait)
		return
	}
	a := x.accounts[r.account]
	a.pause = max(a.pause, r.started-a.lastStart)
	a.lastStart = r.started
	a.running = append(a.running, r)
	if x.counts(r) {
		record(x.queue, wait)
		record(a.queue, wait)
	}
}

func (x *measure) began(r *request) {
	if x.counts(r) {
		record(x.first, x.model.clock.elapsed-r.arrived)
	}
}

func (x *measure) answered(r *request) {
	if r.service != modelService {
		return
	}
	a := x.accounts[r.account]
	a.answered++
	a.service += r.job.cost(r.job.endStep)
	if x.counts(r) {
		record(a.residence, x.model.clock.elapsed-r.started)
	}
	a.running = slices.DeleteFunc(a.running, func(other *request) bool { return other == r })
}

func (x *measure) ended(_ *request, reason refusal.Reason) {
	if reason == "" {
		reason = "answered"
	}
	x.answers[string(reason)]++
}

func (x *measure) sampleBusy() {
	busy, room := 0, 0
	for _, e := range x.model.engines[:x.model.deployment.Models] {
		busy += e.running
		room += e.batch
	}
	waits, queues := x.waitingWork()
	x.samples++
	if waits {
		x.strictBusy += float64(busy)
		x.strictRoom += float64(room)
	}
	if queues {
		x.queuedSamples++
		x.busy += float64(busy)
		x.room += float64(room)
	}
}

// waitingWork reports whether any model request waits, and whether one has
// waited for longer than it takes to be granted a free slot.
func (x *measure) waitingWork() (waits, queues bool) {
	for _, r := range x.model.routers {
		for _, q := range r.queues {
			if q.key.service != modelService || q.len() == 0 {
				continue
			}
			waits = true
			if x.model.clock.elapsed-q.oldest().arrived > queued {
				return true, true
			}
		}
	}
	return waits, false
}

func (x *measure) sampleGap() {
	services := make([]float64, len(x.accounts))
	backlogged := make([]bool, len(x.accounts))
	for i, a := range x.accounts {
		services[i] = a.service
		backlogged[i] = a.waiting > 0 && !a.emptied
		a.emptied = a.waiting == 0
		for _, r := range a.running {
			services[i] += x.soFar(r)
		}
		services[i] /= float64(x.model.weight(i))
	}
	x.gap.Sample(services, backlogged)
	if x.model.clock.elapsed >= laterTime {
		x.later.Sample(services, backlogged)
	}
}

// soFar returns what a request in flight was served.
func (x *measure) soFar(r *request) float64 {
	if !r.job.began {
		return 0
	}
	r.engine.advance()
	return r.job.cost(r.engine.steps)
}

// control counts control traffic.
type control struct {
	messages int
	bytes    int
	packets  int
	polls    int
}

func (c *control) sent(size int) {
	c.messages++
	c.bytes += size + frameBytes
	c.packets += packetBytes
}

func (c *control) polled() { c.polls += pollBytes }
