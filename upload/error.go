package upload

import "fmt"

// CutOffError is the error of a connection that the server ended before it had taken the whole request.
type CutOffError struct {
	// Written counts the bytes of the request that were passed to the system.
	Written int64
	// Cause is the error of the write, or io.ErrUnexpectedEOF.
	Cause error
}

// Error states how much of the request was written, and the cause.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("the connection ended before its request was taken, %d bytes of which were written: %v", e.Written, e.Cause)
}

// Unwrap returns the cause.
func (e *CutOffError) Unwrap() error { return e.Cause }
