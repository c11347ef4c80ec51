package overload

import "time"

// steady passes over single long waits, as of a machine that stood still for a
// moment, which say nothing of what callers bring. Its zero value has seen none.
type steady struct{ last time.Duration }

// observe returns the shorter of this wait and the one before.
func (s *steady) observe(wait time.Duration) time.Duration {
	shorter := min(wait, s.last)
	s.last = wait
	return shorter
}
