package quarantine

import "time"

// recentSize is how many requests that were served are remembered.
const recentSize = 4096

// recent remembers which requests were served last, and when. Its zero value is empty.
type recent struct {
	at    map[Fingerprint]time.Time
	order []Fingerprint
	next  int
}

func (r *recent) add(now time.Time, request Fingerprint) {
	if r.at == nil {
		r.at = make(map[Fingerprint]time.Time)
	}
	_, known := r.at[request]
	r.at[request] = now
	switch {
	case known:
	case len(r.order) < recentSize:
		r.order = append(r.order, request)
	default:
		delete(r.at, r.order[r.next])
		r.order[r.next] = request
		r.next = (r.next + 1) % recentSize
	}
}

// ago returns how long ago a request was served, and whether it is known to have been.
func (r *recent) ago(now time.Time, request Fingerprint) (time.Duration, bool) {
	at, known := r.at[request]
	return now.Sub(at), known
}
