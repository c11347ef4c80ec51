package upstream

import "fmt"

// Error is the error of an exchange without a complete answer.
type Error struct {
	Address string
	// Sent is true when a byte of the request may have left this machine. Only if it is false is
	// the request known not to have run.
	Sent bool
	// Answered is true when the header of an answer arrived.
	Answered bool
	Cause    error
}

// Error formats the address, the state of the exchange and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s (sent %t, answered %t): %v", e.Address, e.Sent, e.Answered, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// StrayAnswersError is the cause of an exchange that was aborted because too many answers to other
// requests arrived, or one whose body is too large or of unknown length.
type StrayAnswersError struct{ Count int }

// Error states how many arrived.
func (e *StrayAnswersError) Error() string {
	return fmt.Sprintf("%d answers to other requests on one connection", e.Count)
}
