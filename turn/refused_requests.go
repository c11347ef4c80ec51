package turn

import "time"

const (
	// retryMemory is how long a refused request is remembered. Callers come back within a
	// third of the time that they have.
	retryMemory = 4 * time.Second
	// maxRemembered bounds the requests of an account that are remembered in that time.
	maxRemembered = 4096
)

// refusedRequests remembers the requests of an account that were refused, by the hash of
// their prompts. Its zero value is empty.
type refusedRequests struct {
	// current holds when requests were refused since rotatedAt, and previous those before.
	current, previous map[uint64]time.Time
	rotatedAt         time.Time
}

// add remembers a request.
func (s *refusedRequests) add(now time.Time, r *Request) {
	if len(r.Prefixes) == 0 {
		return
	}
	if s.current == nil || now.Sub(s.rotatedAt) > retryMemory || len(s.current) >= maxRemembered {
		s.previous, s.current = s.current, make(map[uint64]time.Time)
		s.rotatedAt = now
	}
	s.current[r.promptHash()] = now
}

// take reports whether a request was refused lately, and forgets it.
func (s *refusedRequests) take(now time.Time, r *Request) bool {
	if len(r.Prefixes) == 0 {
		return false
	}
	for _, requests := range []map[uint64]time.Time{s.current, s.previous} {
		if at, known := requests[r.promptHash()]; known {
			delete(requests, r.promptHash())
			return now.Sub(at) <= retryMemory
		}
	}
	return false
}

// promptHash returns the hash of the whole prompt.
func (r *Request) promptHash() uint64 { return r.Prefixes[len(r.Prefixes)-1].Hash }
