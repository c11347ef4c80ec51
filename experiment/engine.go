package experiment

import (
	"container/heap"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/inflight"
)

// The speed of a simulated engine. At a full batch of 16 a token takes 41 ms,
// so an answer of 320 tokens streams for 13 s, as in the users' estimates.
const (
	engineBatch       = 16
	stepBase          = 25 * time.Millisecond
	stepPerRequest    = time.Millisecond
	prefillBase       = 20 * time.Millisecond
	prefillPerToken   = 100 * time.Microsecond // for each uncached input token
	maxCachedPrefixes = 8
	plainBatch        = 8
)

// job is one request at an engine. A job with a plainDuration is a plain call,
// others generate tokens.
type job struct {
	inputTokens, outputTokens int
	prefix                    uint64
	prefixTokens              int
	onFirstToken, onDone      func()
	generating                bool
	startStep                 float64
	endStep                   float64
	plainDuration             time.Duration
}

// costAt returns the weighted tokens of the job up to a step of its engine.
func (j *job) costAt(steps float64) float64 {
	if !j.generating {
		return 0
	}
	produced := min(max(steps-j.startStep, 0), float64(j.outputTokens))
	return float64(j.inputTokens)*inputWeight + produced
}

// engine simulates an upstream that queues all requests, runs up to a batch of
// them, and produces one token per step for each. Steps take longer the more
// requests run.
type engine struct {
	clock   *clock
	batch   int
	speed   float64
	running int
	queue   []*job
	// steps counts the steps of the run up to updatedAt; it is fractional, since
	// the batch can change within a step.
	steps          float64
	updatedAt      time.Duration
	generatingJobs jobHeap
	// scheduleID identifies the latest scheduled end; earlier events are ignored.
	scheduleID  int
	prefixCache []uint64
	cacheHits   int
	cacheMisses int
}

func newEngine(c *clock, batch int) *engine {
	return &engine{clock: c, batch: batch, speed: 1}
}

// stepTime returns the duration of a step with the current batch.
func (e *engine) stepTime() time.Duration {
	step := stepBase + time.Duration(e.running)*stepPerRequest
	return time.Duration(float64(step) / e.speed)
}

// advance updates steps to the current time. It must be called before each
// change of the batch or speed.
func (e *engine) advance() {
	if e.running > 0 {
		e.steps += float64(e.clock.elapsed-e.updatedAt) / float64(e.stepTime())
	}
	e.updatedAt = e.clock.elapsed
}

// setSpeed changes the speed of the engine; 1 is normal.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}

// submit queues a job, and starts it if the batch has room.
func (e *engine) submit(j *job) {
	e.advance()
	e.queue = append(e.queue, j)
	e.startQueued()
	e.schedule()
}

// startQueued starts queued jobs until the batch is full.
func (e *engine) startQueued() {
	for e.running < e.batch && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		e.startJob(j)
	}
}

// startJob runs a plain call, or runs the prefill of a model request and then
// starts its token generation.
func (e *engine) startJob(j *job) {
	if j.plainDuration > 0 {
		e.clock.runAfter(time.Duration(float64(j.plainDuration)/e.speed), func() {
			e.advance()
			j.onFirstToken()
			e.finishJob(j)
			e.schedule()
		})
		return
	}
	uncached := j.inputTokens
	if e.usePrefix(j.prefix) {
		uncached = max(j.inputTokens-j.prefixTokens, 0)
	}
	prefill := prefillBase + time.Duration(uncached)*prefillPerToken
	e.clock.runAfter(time.Duration(float64(prefill)/e.speed), func() {
		e.advance()
		j.generating = true
		j.startStep = e.steps
		j.endStep = e.steps + float64(j.outputTokens)
		heap.Push(&e.generatingJobs, j)
		j.onFirstToken()
		e.schedule()
	})
}

// usePrefix reports whether a prefix is cached, and makes it the most recently
// used entry of the cache.
func (e *engine) usePrefix(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	i := slices.Index(e.prefixCache, prefix)
	if i >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, i, i+1)
		e.cacheHits++
	} else {
		e.cacheMisses++
	}
	e.prefixCache = append(e.prefixCache, prefix)
	if len(e.prefixCache) > maxCachedPrefixes {
		e.prefixCache = e.prefixCache[1:]
	}
	return i >= 0
}

// schedule schedules the end of the job that ends next, and invalidates the
// event scheduled before.
func (e *engine) schedule() {
	e.scheduleID++
	if len(e.generatingJobs) == 0 {
		return
	}
	id := e.scheduleID
	stepsLeft := max(e.generatingJobs[0].endStep-e.steps, 0)
	// The added nanosecond compensates for rounding down.
	delay := time.Duration(stepsLeft*float64(e.stepTime())) + 1
	e.clock.runAfter(delay, func() {
		if e.scheduleID == id {
			e.finishDue()
		}
	})
}

// finishDue ends all jobs that have produced their tokens.
func (e *engine) finishDue() {
	const rounding = 1e-6
	e.advance()
	for len(e.generatingJobs) > 0 && e.generatingJobs[0].endStep <= e.steps+rounding {
		e.finishJob(heap.Pop(&e.generatingJobs).(*job))
	}
	e.schedule()
}

// finishJob frees the job's place in the batch and reports its end.
func (e *engine) finishJob(j *job) {
	e.running--
	e.startQueued()
	j.onDone()
}

func (e *engine) loadReport() inflight.Load {
	return inflight.Load{Running: e.running, Queued: len(e.queue), MeasuredAt: e.clock.now()}
}

// jobHeap is a min-heap of jobs by the step at which they end.
type jobHeap []*job

func (j jobHeap) Len() int           { return len(j) }
func (j jobHeap) Less(a, b int) bool { return j[a].endStep < j[b].endStep }
func (j jobHeap) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push is called by container/heap.
func (j *jobHeap) Push(x any) { *j = append(*j, x.(*job)) }

// Pop is called by container/heap.
func (j *jobHeap) Pop() any {
	last := len(*j) - 1
	popped := (*j)[last]
	(*j)[last] = nil
	*j = (*j)[:last]
	return popped
}
