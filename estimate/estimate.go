// Package estimate predicts the cost of a request before it is run.
//
// Requests differ in length, and their cost is known only at the end. A fair policy that
// counts nothing until then lets an account start a whole batch of long requests before
// the first counts. A policy that counts the same for every account overcharges accounts
// with short answers until these end. The callers' own limits are rough hints, since max_tokens
// is usually far above the actual output. The mean of the account's last requests is the
// better prediction, and max_tokens only limits it.
package estimate

import (
	"sync"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// defaultOutput is the expected output tokens before any request of the service has
	// ended.
	defaultOutput = 320
	// minSampleWeight is the weight of a new request in a mean of at least twenty. About
	// the last twenty requests count, and one long answer moves the mean by a twentieth.
	minSampleWeight = 0.05
	// settledRequests is how many requests an account needs before its own mean is used
	// alone. With fewer its mean is mixed with the service's mean.
	settledRequests = 8
	// bytesPerToken is the usual length of a token in the JSON body of a request.
	bytesPerToken = 4
	// defaultCapacity is the default limit of remembered accounts, in both generations
	// together. The target size is 36,000 accounts, at about 100 bytes each.
	defaultCapacity = 50_000
	// defaultInputWeight and defaultOutputWeight are the weights of a token, in
	// thousandths, for a service that sets none. An output token takes one step of the
	// batch, while many input tokens are computed at a time.
	defaultInputWeight  = 250
	defaultOutputWeight = 1000
	// weightScale is the divisor of weights, which are in thousandths.
	weightScale = 1000
	// defaultCallCost is the cost of a plain call, in weighted tokens, for a service that
	// sets none: a third of a usual answer.
	defaultCallCost = 100
)

// Weights are the costs of one token in thousandths. Zero means 250 for input and 1000
// for output.
type Weights struct {
	Input  uint32
	Output uint32
}

// Cost returns the cost of a request in weighted tokens, at least 1.
func (w Weights) Cost(input, output int64) fleet.Tokens {
	in, out := int64(w.Input), int64(w.Output)
	if in == 0 {
		in = defaultInputWeight
	}
	if out == 0 {
		out = defaultOutputWeight
	}
	return max(fleet.Tokens((in*max(input, 0)+out*max(output, 0))/weightScale), 1)
}

// CallCost returns the cost of one call of a plain service in weighted tokens: the declared
// cost, or 100 if that is zero.
func CallCost(declared uint32) fleet.Tokens {
	if declared == 0 {
		return defaultCallCost
	}
	return fleet.Tokens(declared)
}

// InputTokens returns the approximate number of tokens in a request body of size bytes.
func InputTokens(size int64) int64 { return size / bytesPerToken }

// Key identifies an account's use of one service.
type Key struct {
	Account fleet.AccountID
	Service fleet.ServiceID
}

// Estimator predicts output tokens by account and service. Its zero value is ready to
// use, and it is safe for concurrent use. Its memory is bounded: the least recently used
// accounts are forgotten and start again from their service's mean.
type Estimator struct {
	// Capacity limits the remembered accounts; zero means 50,000.
	Capacity int

	mutex    sync.Mutex
	services map[fleet.ServiceID]*runningMean
	// recent and older are two generations of accounts. When recent is full it replaces
	// older, which discards the accounts that were not used since.
	recent map[Key]*runningMean
	older  map[Key]*runningMean
}

// runningMean is a mean of output tokens that gives recent requests more weight.
type runningMean struct {
	value float64
	count int
}

func (m *runningMean) observe(value float64) {
	m.count++
	m.value += (value - m.value) * max(minSampleWeight, 1/float64(m.count))
}

// PredictOutput returns the expected output tokens of a request, limited to maxTokens if
// that is above zero.
func (e *Estimator) PredictOutput(key Key, maxTokens int64) int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	expected := float64(defaultOutput)
	if s := e.services[key.Service]; s != nil {
		expected = s.value
	}
	if a := e.account(key); a != nil {
		ownWeight := min(float64(a.count)/settledRequests, 1)
		expected += (a.value - expected) * ownWeight
	}
	output := max(int64(expected), 1)
	if maxTokens > 0 {
		output = min(output, maxTokens)
	}
	return output
}

// Ended adds the output tokens of a request that was answered completely.
func (e *Estimator) Ended(key Key, output int64) {
	if output < 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.services == nil {
		e.services = make(map[fleet.ServiceID]*runningMean)
	}
	s := e.services[key.Service]
	if s == nil {
		s = &runningMean{}
		e.services[key.Service] = s
	}
	s.observe(float64(output))
	a := e.account(key)
	if a == nil {
		a = &runningMean{}
		e.remember(key, a)
	}
	a.observe(float64(output))
}

// account returns the mean of key, or nil, and moves it to the recent generation.
func (e *Estimator) account(key Key) *runningMean {
	if a := e.recent[key]; a != nil {
		return a
	}
	a := e.older[key]
	if a != nil {
		e.remember(key, a)
	}
	return a
}

func (e *Estimator) remember(key Key, a *runningMean) {
	capacity := e.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	if e.recent == nil || len(e.recent) >= max(capacity/2, 1) {
		e.older = e.recent
		e.recent = make(map[Key]*runningMean)
	}
	e.recent[key] = a
}

// Len returns the number of remembered accounts.
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
