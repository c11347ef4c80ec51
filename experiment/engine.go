package experiment

import (
	"container/heap"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/inflight"
)

// The engine of the model. At a full batch of 16 a token takes 41 ms, so an
// answer of 320 tokens streams for 13 s, as in the users' sums.
const (
	engineBatch    = 16
	stepBase       = 25 * time.Millisecond
	stepPerRequest = time.Millisecond
	prefillBase    = 20 * time.Millisecond
	prefillPer     = 100 * time.Microsecond // for each input token that is not cached
	cachedPrefixes = 8
	plainBatch     = 8
)

// job is one request at an engine.
type job struct {
	input, output int
	prefix        uint64
	prefixTokens  int
	first, done   func()
	began         bool
	beginStep     float64
	endStep       float64
	plain         time.Duration
}

// cost returns the job's weighted tokens so far.
func (j *job) cost(steps float64) float64 {
	if !j.began {
		return 0
	}
	produced := min(max(steps-j.beginStep, 0), float64(j.output))
	return float64(j.input)*inputWeight + produced
}

// engine is an upstream that admits all it is sent, runs a batch of it, and
// produces one token for each running request per step. Steps take longer the
// more requests run.
type engine struct {
	clock   *clock
	batch   int
	speed   float64
	running int
	queue   []*job
	// steps counts since the beginning; it rises evenly between changes of
	// the batch.
	steps   float64
	updated time.Duration
	active  jobs
	plan    int
	cache   []uint64
	hits    int
	misses  int
}

func newEngine(c *clock, batch int) *engine {
	return &engine{clock: c, batch: batch, speed: 1}
}

func (e *engine) stepTime() time.Duration {
	step := stepBase + time.Duration(e.running)*stepPerRequest
	return time.Duration(float64(step) / e.speed)
}

// advance brings steps up to now; it goes before each change.
func (e *engine) advance() {
	if e.running > 0 {
		e.steps += float64(e.clock.elapsed-e.updated) / float64(e.stepTime())
	}
	e.updated = e.clock.elapsed
}

// setSpeed makes the engine slower or faster from now on.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}

// submit takes a job, which waits inside while the batch is full.
func (e *engine) submit(j *job) {
	e.advance()
	e.queue = append(e.queue, j)
	e.fill()
	e.schedule()
}

func (e *engine) fill() {
	for e.running < e.batch && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		e.begin(j)
	}
}

func (e *engine) begin(j *job) {
	if j.plain > 0 {
		e.clock.after(time.Duration(float64(j.plain)/e.speed), func() {
			e.advance()
			j.first()
			e.end(j)
			e.schedule()
		})
		return
	}
	uncached := j.input
	if e.cached(j.prefix) {
		uncached = max(j.input-j.prefixTokens, 0)
	}
	prefill := prefillBase + time.Duration(uncached)*prefillPer
	e.clock.after(time.Duration(float64(prefill)/e.speed), func() {
		e.advance()
		j.began = true
		j.beginStep = e.steps
		j.endStep = e.steps + float64(j.output)
		heap.Push(&e.active, j)
		j.first()
		e.schedule()
	})
}

// cached reports whether a prefix is cached, and keeps it as the latest used.
func (e *engine) cached(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		e.hits++
	} else {
		e.misses++
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

// schedule sets the event of the job that ends next, in place of an earlier one.
func (e *engine) schedule() {
	e.plan++
	if len(e.active) == 0 {
		return
	}
	plan := e.plan
	left := max(e.active[0].endStep-e.steps, 0)
	// A nanosecond more makes up for rounding down.
	delay := time.Duration(left*float64(e.stepTime())) + 1
	e.clock.after(delay, func() {
		if e.plan == plan {
			e.finish()
		}
	})
}

func (e *engine) finish() {
	const rounding = 1e-6
	e.advance()
	for len(e.active) > 0 && e.active[0].endStep <= e.steps+rounding {
		e.end(heap.Pop(&e.active).(*job))
	}
	e.schedule()
}

func (e *engine) end(j *job) {
	e.running--
	e.fill()
	j.done()
}

func (e *engine) load() inflight.Load {
	return inflight.Load{Running: e.running, Queued: len(e.queue), At: e.clock.now()}
}

// jobs is a heap by the step at which they end.
type jobs []*job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].endStep < j[b].endStep }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push is called by container/heap.
func (j *jobs) Push(x any) { *j = append(*j, x.(*job)) }

// Pop is called by container/heap.
func (j *jobs) Pop() any {
	last := len(*j) - 1
	popped := (*j)[last]
	(*j)[last] = nil
	*j = (*j)[:last]
	return popped
}
