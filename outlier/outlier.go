// Package outlier ejects upstreams that fail more often than others, judged by the
// outcomes of their requests.
//
// It protects against an upstream that fails some of its requests, hangs or resets
// connections while its health check passes. Because failing is quick, a router that
// relies on health checks or on the shortest queue sends such an upstream more than
// its share, and callers see errors at a rate far above the upstream's share of the
// fleet. A Detector ejects an upstream for a while when it fails clearly more often
// than the others of its service, and then lets a single request probe it.
//
// If all upstreams fail alike, the cause is not one of them. None is ejected then, as
// the last one left would get all requests.
package outlier

import (
	"time"
)

const (
	// outcomeWeight is the weight of the latest outcome in an upstream's failure rate,
	// so that about the last ten outcomes count.
	outcomeWeight = 0.1
	// ejectionRate is the failure rate from which an upstream is ejected. Plain
	// services without a fault answer up to 15 in 100 reads with an error of their
	// own; over ten outcomes that stays below a third.
	ejectionRate = 0.33
	// minRateRatio is how many times the mean rate of the others that rate must be.
	minRateRatio = 2.0
	// ejectionFailures is the number of consecutive failures that eject an upstream
	// regardless of its failure rate.
	ejectionFailures = 3
	// minEjection is the first ejection time. Each failed probe doubles it, up to
	// maxEjection. Restarts take seconds, and each probe may cost a request.
	minEjection = 700 * time.Millisecond
	maxEjection = 4 * time.Second
	// probeTimeout is how long a probing request may take before another one is
	// allowed.
	probeTimeout = time.Second
)

// FailureKind classifies how an exchange failed.
type FailureKind int

const (
	// Soft failures are error responses and broken or late answers.
	Soft FailureKind = iota + 1
	// Hard failures are connections that can't be opened: nothing listens there.
	Hard
)

// upstreamState holds the recent outcomes and the ejection of one upstream.
type upstreamState struct {
	failureRate         float64
	consecutiveFailures int
	// ejection is the length of the last ejection, zero after a success.
	ejection     time.Duration
	ejectedUntil time.Time
	// probeUntil is the time until which no other request may probe the upstream.
	probeUntil time.Time
	// heldUntil is the time until which a success doesn't end the ejection.
	heldUntil time.Time
}

// Detector tracks the outcomes of the upstreams of one service. Its zero value ejects
// none. It isn't safe for concurrent use: its owner's lock protects it.
type Detector[K comparable] struct {
	states map[K]*upstreamState
}

// Hold ejects an upstream until some time, because it has asked for that. Exchanges that began before
// don't end the ejection.
func (d *Detector[K]) Hold(key K, until time.Time) {
	s := d.state(key)
	s.ejection = max(s.ejection, minEjection)
	s.heldUntil = until
	if until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
	s.probeUntil = time.Time{}
}

// RecordSuccess records a successful exchange, which ends an ejection unless the upstream is held.
func (d *Detector[K]) RecordSuccess(now time.Time, key K) {
	s := d.state(key)
	s.failureRate *= 1 - outcomeWeight
	s.consecutiveFailures = 0
	if now.Before(s.heldUntil) {
		return
	}
	if s.ejection > 0 {
		s.failureRate = min(s.failureRate, ejectionRate/2)
	}
	s.ejection = 0
	s.ejectedUntil = time.Time{}
}

// RecordFailure records a failed exchange and reports whether it caused an ejection.
func (d *Detector[K]) RecordFailure(now time.Time, key K, kind FailureKind) bool {
	s := d.state(key)
	s.failureRate += (1 - s.failureRate) * outcomeWeight
	s.consecutiveFailures++
	isProbe := s.ejection > 0 && !now.Before(s.ejectedUntil)
	if kind != Hard && !isProbe && !d.isOutlier(key, s) {
		return false
	}
	if now.Before(s.ejectedUntil) {
		return false
	}
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejection)
	s.probeUntil = time.Time{}
	return true
}

// isOutlier reports whether an upstream fails clearly more often than the others.
func (d *Detector[K]) isOutlier(key K, s *upstreamState) bool {
	others := d.meanRateOfOthers(key)
	if s.consecutiveFailures >= ejectionFailures && others < ejectionRate {
		return true
	}
	return s.failureRate >= ejectionRate && s.failureRate >= minRateRatio*others
}

// meanRateOfOthers returns the mean failure rate of the other upstreams.
func (d *Detector[K]) meanRateOfOthers(key K) float64 {
	sum, count := 0.0, 0
	for other, s := range d.states {
		if other != key {
			sum += s.failureRate
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// Usable reports whether a request may be sent to an upstream. After an ejection one
// request at a time may probe it.
func (d *Detector[K]) Usable(now time.Time, key K) bool {
	s := d.states[key]
	if s == nil || s.ejection == 0 {
		return true
	}
	return !now.Before(s.ejectedUntil) && !now.Before(s.probeUntil)
}

// RecordSend records that a request is sent to an upstream. After an ejection it is the
// probe.
func (d *Detector[K]) RecordSend(now time.Time, key K) {
	s := d.states[key]
	if s != nil && s.ejection > 0 {
		s.probeUntil = now.Add(probeTimeout)
	}
}

// Retain drops the state of all upstreams that are not in keys.
func (d *Detector[K]) Retain(keys map[K]bool) {
	for key := range d.states {
		if !keys[key] {
			delete(d.states, key)
		}
	}
}

func (d *Detector[K]) state(key K) *upstreamState {
	s := d.states[key]
	if s != nil {
		return s
	}
	if d.states == nil {
		d.states = make(map[K]*upstreamState)
	}
	s = &upstreamState{}
	d.states[key] = s
	return s
}
