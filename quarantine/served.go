package quarantine

import "time"

// maxServed is the maximum number of served requests that are kept.
const maxServed = 4096

// servedRequests holds the times at which the latest requests were served. Its zero value
// is empty.
type servedRequests struct {
	servedAt map[Fingerprint]time.Time
	order    []Fingerprint
	next     int
}

func (r *servedRequests) add(now time.Time, request Fingerprint) {
	if r.servedAt == nil {
		r.servedAt = make(map[Fingerprint]time.Time)
	}
	_, known := r.servedAt[request]
	r.servedAt[request] = now
	switch {
	case known:
	case len(r.order) < maxServed:
		r.order = append(r.order, request)
	default:
		delete(r.servedAt, r.order[r.next])
		r.order[r.next] = request
		r.next = (r.next + 1) % maxServed
	}
}

// since returns how long ago a request was served, false if that isn't known.
func (r *servedRequests) since(now time.Time, request Fingerprint) (time.Duration, bool) {
	at, known := r.servedAt[request]
	return now.Sub(at), known
}
