package quarantine

import (
	"time"

	"nutmeglock.example/nutmeglock/turn"
)

const (
	// A request is suspected after suspectedCrashes and refused after refusedCrashes
	// crashes of upstreams, one after the other and without a success in between.
	suspectedCrashes = 2
	refusedCrashes   = 3
	// crashTTL is how long after the last crash of a request its crashes count.
	crashTTL = 5 * time.Minute
	// clockSlack is how much reports of one event may differ in its age.
	clockSlack = 10 * time.Millisecond
	// commonCauseWindow is the time within which crashes are taken to have a common
	// cause. A retry may start and fail within it.
	commonCauseWindow = 50 * time.Millisecond
	// generationSize is the number of crash records per generation. At least that many
	// and at most twice as many are kept.
	generationSize = 2048
)

// Crash is a crash of an upstream while it ran a request.
type Crash struct {
	Request  Fingerprint
	Upstream turn.Instance
	// StartedAgo and CrashedAgo are how long ago the request started to run and the
	// upstream crashed.
	StartedAgo, CrashedAgo time.Duration
	// ServedAgo is how long ago the reporting router last served the request, zero for
	// never.
	ServedAgo time.Duration
}

// Status is the state of a request in the quarantine.
type Status int

// The statuses of a request.
const (
	NotSuspected Status = iota
	Suspected
	Refused
)

// crashRecord holds the crashes of one request.
type crashRecord struct {
	// crashes is the number of crashes that count, firstCrash and lastCrash are the
	// times of the first and the last of them.
	crashes               int
	firstCrash, lastCrash time.Time
	// upstreams holds the upstreams of all crashes, also of those that don't count.
	upstreams map[turn.Instance]bool
}

// crashCounter counts the upstreams that crashed under each request. Its zero value is
// empty.
//
// Upstreams that crash together, as in a power cut, count once: a crash counts only if
// the request started after the previous crash and the upstream crashed clearly later. A
// success clears the request, so a popular request that runs everywhere isn't suspected.
type crashCounter struct {
	// Records are kept in two generations. When current is full it replaces previous,
	// whose records are dropped.
	current  map[Fingerprint]*crashRecord
	previous map[Fingerprint]*crashRecord
}

// count records a crash. It returns the new status of the request, or NotSuspected if
// the crash doesn't change it.
func (c *crashCounter) count(now time.Time, crash Crash) Status {
	r := c.record(now, crash.Request)
	if r.crashes > 0 && crash.ServedAgo > 0 && now.Add(-crash.ServedAgo).After(r.lastCrash) {
		c.clear(crash.Request)
		r = c.record(now, crash.Request)
	}
	if r.upstreams[crash.Upstream] {
		return NotSuspected
	}
	r.upstreams[crash.Upstream] = true
	started, crashed := now.Add(-crash.StartedAgo), now.Add(-crash.CrashedAgo)
	if r.crashes > 0 && (started.Before(r.lastCrash.Add(-clockSlack)) || crashed.Before(r.lastCrash.Add(commonCauseWindow))) {
		return NotSuspected
	}
	if r.crashes == 0 {
		r.firstCrash = crashed
	}
	r.crashes++
	r.lastCrash = crashed
	switch {
	case r.crashes >= refusedCrashes:
		return Refused
	case r.crashes >= suspectedCrashes:
		return Suspected
	default:
		return NotSuspected
	}
}

// sinceFirstCrash returns how long ago the first counted crash of a request was.
func (c *crashCounter) sinceFirstCrash(now time.Time, request Fingerprint) time.Duration {
	if r := c.current[request]; r != nil {
		return now.Sub(r.firstCrash)
	}
	return 0
}

func (c *crashCounter) clear(request Fingerprint) {
	delete(c.current, request)
	delete(c.previous, request)
}

// record returns the record of a request, a new one if there is none or it has expired.
func (c *crashCounter) record(now time.Time, request Fingerprint) *crashRecord {
	r := c.current[request]
	if r == nil {
		r = c.previous[request]
	}
	if r == nil || (r.crashes > 0 && now.Sub(r.lastCrash) >= crashTTL) {
		r = &crashRecord{upstreams: make(map[turn.Instance]bool)}
	}
	c.store(request, r)
	return r
}

// store puts a record into the current generation.
func (c *crashCounter) store(request Fingerprint, r *crashRecord) {
	if c.current[request] == r {
		return
	}
	if c.current == nil || len(c.current) >= generationSize {
		c.previous = c.current
		c.current = make(map[Fingerprint]*crashRecord)
	}
	c.current[request] = r
	delete(c.previous, request)
}
