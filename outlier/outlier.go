// Package outlier tells upstreams that fail from those that serve, by what
// became of the requests that were sent to them.
//
// It answers an upstream that fails a part of its requests, hangs or resets
// while its health check is good. A router that goes by health checks, or by
// the shortest queue, sends such an upstream more than its share, because
// failing is quick: callers see errors at a rate far above the upstream's part
// of the fleet. A Detector takes an upstream out for a while when it fails
// clearly more often than the others of its service, and lets a single request
// try it afterwards.
//
// When all fail alike the cause is not one upstream: none is taken out, or the
// last one would get everything.
package outlier

import (
	"time"
)

const (
	// memory is the weight of the latest outcome in an upstream's failure rate:
	// about the last ten count.
	memory = 0.1
	// suspicious is the failure rate from which an upstream is taken out. Plain
	// services answer up to 15 in 100 reads with an error of their own when
	// nothing is wrong; over ten outcomes that stays below a third.
	suspicious = 0.33
	// excess is how many times the rate of the others it has to be.
	excess = 2.0
	// inARow is how many failures without a success take an upstream out,
	// whatever its rate was before.
	inARow = 3
	// firstOut is how long an upstream is out at first; each failed try doubles
	// it up to maxOut. Restarts take seconds, and each try may cost a request.
	firstOut = 700 * time.Millisecond
	maxOut   = 4 * time.Second
	// trial is how long the request that tries an upstream may take before
	// another is let through.
	trial = time.Second
)

// Failure says how an exchange failed.
type Failure int

const (
	// Soft failures are answers with an error, broken and late answers.
	Soft Failure = iota + 1
	// Hard failures are connections that can't be opened: nothing is there.
	Hard
)

// standing is what is known of one upstream.
type standing struct {
	rate  float64
	row   int
	out   time.Duration
	until time.Time
	// trying is until when a request that tries the upstream is awaited.
	trying time.Time
}

// Detector keeps the standing of the upstreams of one service. Its zero value
// trusts all. It is used under its owner's lock.
type Detector[K comparable] struct {
	standings map[K]*standing
}

// Success notes an exchange that ended well.
func (d *Detector[K]) Success(key K) {
	s := d.of(key)
	s.rate *= 1 - memory
	s.row = 0
	if s.out > 0 {
		s.rate = min(s.rate, suspicious/2)
	}
	s.out = 0
	s.until = time.Time{}
}

// Failure notes an exchange that failed. It reports whether the upstream is
// taken out because of it.
func (d *Detector[K]) Failure(now time.Time, key K, kind Failure) bool {
	s := d.of(key)
	s.rate += (1 - s.rate) * memory
	s.row++
	tried := s.out > 0 && !now.Before(s.until)
	if kind != Hard && !tried && !d.stands(key, s) {
		return false
	}
	if now.Before(s.until) {
		return false
	}
	s.out = min(max(2*s.out, firstOut), maxOut)
	s.until = now.Add(s.out)
	s.trying = time.Time{}
	return true
}

// stands reports whether an upstream stands out by its failures.
func (d *Detector[K]) stands(key K, s *standing) bool {
	others := d.others(key)
	if s.row >= inARow && others < suspicious {
		return true
	}
	return s.rate >= suspicious && s.rate >= excess*others
}

// others returns the mean failure rate of the other upstreams.
func (d *Detector[K]) others(key K) float64 {
	sum, count := 0.0, 0
	for other, s := range d.standings {
		if other != key {
			sum += s.rate
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// Usable reports whether a request may be sent to an upstream. After its time
// out a single request at a time may try it.
func (d *Detector[K]) Usable(now time.Time, key K) bool {
	s := d.standings[key]
	if s == nil || s.out == 0 {
		return true
	}
	return !now.Before(s.until) && !now.Before(s.trying)
}

// Try notes that a request is sent to an upstream.
func (d *Detector[K]) Try(now time.Time, key K) {
	s := d.standings[key]
	if s != nil && s.out > 0 {
		s.trying = now.Add(trial)
	}
}

// Keep forgets the upstreams that are not among keys.
func (d *Detector[K]) Keep(keys map[K]bool) {
	for key := range d.standings {
		if !keys[key] {
			delete(d.standings, key)
		}
	}
}

func (d *Detector[K]) of(key K) *standing {
	s := d.standings[key]
	if s != nil {
		return s
	}
	if d.standings == nil {
		d.standings = make(map[K]*standing)
	}
	s = &standing{}
	d.standings[key] = s
	return s
}
