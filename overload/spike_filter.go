package overload

import "time"

// spikeFilter ignores single long waits, which are stalls of the machine rather than
// load. Its zero value is ready to use.
type spikeFilter struct{ previous time.Duration }

// observe returns the shorter of this wait and the previous one.
func (s *spikeFilter) observe(wait time.Duration) time.Duration {
	shorter := min(wait, s.previous)
	s.previous = wait
	return shorter
}
