package stream

import "fmt"

// MaxWithoutProgress bounds, in bytes, what may come between two events that bring something new. Comments keep a connection
// open, and a stream that is taken up again may repeat some events.
const MaxWithoutProgress = 256 << 10

// NoProgressError is the error of a stream that sends nothing new.
type NoProgressError struct{ Bytes int }

// Error states how much has come.
func (e *NoProgressError) Error() string {
	return fmt.Sprintf("%d bytes of comments and repeated events", e.Bytes)
}

// Progress counts what a stream sends between two events that bring something new. Its zero value is ready to use.
type Progress struct{ idleBytes int }

// Record counts an event, and returns *NoProgressError once too much has come that brings nothing new.
func (p *Progress) Record(e Event, isNew bool) error {
	if isNew {
		p.idleBytes = 0
		return nil
	}
	p.idleBytes += len(e.Raw)
	if p.idleBytes > MaxWithoutProgress {
		return &NoProgressError{Bytes: p.idleBytes}
	}
	return nil
}
