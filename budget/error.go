package budget

import "fmt"

// ExhaustedError is returned if a Pool can't grant more.
type ExhaustedError struct {
	Resource Resource
	// Held is what is in use, and Limit what may be: bytes, or connections.
	Held, Limit int64
}

// Error includes the resource and its use.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("callers hold %d of %d of %s", e.Held, e.Limit, e.Resource)
}

// EvictedError is returned to a connection that was evicted in favour of others.
type EvictedError struct{ Eviction }

// Error includes what the pool was short of.
func (e *EvictedError) Error() string {
	return fmt.Sprintf("evicted in stage %s for lack of %s", e.Stage, e.Resource)
}

// Eviction describes why a connection has to give back what it holds.
type Eviction struct {
	Resource Resource
	// Stage is the stage in which it was, and Bytes what it held.
	Stage Stage
	Bytes int64
}
