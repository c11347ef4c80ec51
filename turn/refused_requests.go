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
	// current holds the requests that were refused since rotatedAt, and previous those before.
	current, previous map[uint64]refusedRequest
	rotatedAt         time.Time
}

// refusedRequest is when a request was refused, and when it first arrived at a router.
type refusedRequest struct{ refusedAt, arrivedAt time.Time }

// add remembers a request that arrived at a router at arrivedAt, or earlier if it is remembered already.
func (s *refusedRequests) add(now time.Time, r *Request, arrivedAt time.Time) {
	if len(r.Prefixes) == 0 {
		return
	}
	if s.current == nil || now.Sub(s.rotatedAt) > retryMemory || len(s.current) >= maxRemembered {
		s.previous, s.current = s.current, make(map[uint64]refusedRequest)
		s.rotatedAt = now
	}
	if first, known := s.take(now, r); known && first.Before(arrivedAt) {
		arrivedAt = first
	}
	s.current[r.promptHash()] = refusedRequest{refusedAt: now, arrivedAt: arrivedAt}
}

// take reports whether a request was refused lately and when it first arrived, and forgets it.
func (s *refusedRequests) take(now time.Time, r *Request) (arrivedAt time.Time, known bool) {
	if len(r.Prefixes) == 0 {
		return time.Time{}, false
	}
	for _, requests := range []map[uint64]refusedRequest{s.current, s.previous} {
		if refused, known := requests[r.promptHash()]; known {
			delete(requests, r.promptHash())
			return refused.arrivedAt, now.Sub(refused.refusedAt) <= retryMemory
		}
	}
	return time.Time{}, false
}

// promptHash returns the hash of the whole prompt.
func (r *Request) promptHash() uint64 { return r.Prefixes[len(r.Prefixes)-1].Hash }
