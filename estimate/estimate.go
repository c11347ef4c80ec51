// Package estimate expects the cost of a request before it is run.
//
// It answers requests of unequal length, whose cost is known only at the end.
// A fair order that charges nothing until then lets an account start a whole
// batch of long requests before the first counts; one that charges every
// account the same overcharges accounts with short answers until they end.
// Callers' own bounds are rough hints: max_tokens is usually far above what
// comes. What the account's last requests took is the better guess, and
// max_tokens only bounds it.
package estimate

import (
	"sync"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// firstOutput is expected of a service before any of its requests ended.
	firstOutput = 320
	// memory is the weight of each further request in an account's mean: about
	// the last twenty count, so one long answer moves it by a twentieth.
	memory = 0.05
	// settled is how many requests an account needs until its mean counts
	// alone; before that it is mixed with the service's.
	settled = 8
	// bytesPerToken is the usual length of a token in a request's JSON body.
	bytesPerToken = 4
	// defaultCapacity bounds the accounts remembered in each generation: the
	// 36,000 of the target size fit in one, at some 100 bytes each.
	defaultCapacity = 50_000
	// The weights of a token in thousandths where the service names none. An
	// output token takes a step of the batch, input tokens are computed many
	// at a time.
	defaultInputWeight  = 250
	defaultOutputWeight = 1000
	thousandth          = 1000
	// defaultCall is the charge of a plain call whose service declares none, in
	// weighted tokens: a third of a usual answer.
	defaultCall = 100
)

// Weights are what one token is charged, in thousandths. Zeros mean 250 for
// input and 1000 for output.
type Weights struct {
	Input  uint32
	Output uint32
}

// Cost returns the weighted tokens of a request, at least 1.
func (w Weights) Cost(input, output int64) fleet.Tokens {
	in, out := int64(w.Input), int64(w.Output)
	if in == 0 {
		in = defaultInputWeight
	}
	if out == 0 {
		out = defaultOutputWeight
	}
	return max(fleet.Tokens((in*max(input, 0)+out*max(output, 0))/thousandth), 1)
}

// Call returns the weighted tokens that one call of a plain service is charged:
// what the service declares, or 100 when that is zero.
func Call(declared uint32) fleet.Tokens {
	if declared == 0 {
		return defaultCall
	}
	return fleet.Tokens(declared)
}

// InputTokens returns about how many tokens a request body of size bytes has.
func InputTokens(size int64) int64 { return size / bytesPerToken }

// Key is an account's use of one service.
type Key struct {
	Account fleet.AccountID
	Service fleet.ServiceID
}

// Estimator expects output tokens by account and service. Its zero value is
// ready to use, and it is safe for concurrent use. Its memory is bounded: the
// accounts that were not used for longest are forgotten and start again from
// their service's mean.
type Estimator struct {
	// Capacity bounds the accounts remembered; zero means 50,000.
	Capacity int

	mutex    sync.Mutex
	services map[fleet.ServiceID]*mean
	// recent and older are two generations: when recent is full it becomes
	// older, and what was in older and not used since is forgotten.
	recent map[Key]*mean
	older  map[Key]*mean
}

// mean is a mean of output tokens in which later requests weigh more.
type mean struct {
	value float64
	count int
}

func (m *mean) add(value float64) {
	m.count++
	m.value += (value - m.value) * max(memory, 1/float64(m.count))
}

// Output returns the output tokens expected of a request, at most maxTokens
// where the caller gave one above zero.
func (e *Estimator) Output(key Key, maxTokens int64) int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	expected := float64(firstOutput)
	if s := e.services[key.Service]; s != nil {
		expected = s.value
	}
	if a := e.account(key); a != nil {
		part := min(float64(a.count)/settled, 1)
		expected += (a.value - expected) * part
	}
	output := max(int64(expected), 1)
	if maxTokens > 0 {
		output = min(output, maxTokens)
	}
	return output
}

// Ended takes the output tokens of a request that was answered whole.
func (e *Estimator) Ended(key Key, output int64) {
	if output < 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.services == nil {
		e.services = make(map[fleet.ServiceID]*mean)
	}
	s := e.services[key.Service]
	if s == nil {
		s = &mean{}
		e.services[key.Service] = s
	}
	s.add(float64(output))
	a := e.account(key)
	if a == nil {
		a = &mean{}
		e.remember(key, a)
	}
	a.add(float64(output))
}

// account returns what is known of key, and keeps it in the recent generation.
func (e *Estimator) account(key Key) *mean {
	if a := e.recent[key]; a != nil {
		return a
	}
	a := e.older[key]
	if a != nil {
		e.remember(key, a)
	}
	return a
}

func (e *Estimator) remember(key Key, a *mean) {
	capacity := e.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	if e.recent == nil || len(e.recent) >= max(capacity/2, 1) {
		e.older = e.recent
		e.recent = make(map[Key]*mean)
	}
	e.recent[key] = a
}

// Len returns how many accounts are remembered.
func (e *Estimator) Len() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	total := len(e.recent)
	for key := range e.older {
		if e.recent[key] == nil {
			total++
		}
	}
	return total
}
