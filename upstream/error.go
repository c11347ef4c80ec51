package upstream

import "fmt"

// Error is the error of an exchange that brought no whole answer.
type Error struct {
	Address string
	// Sent is true when a byte of the request may have left this machine. Only
	// an exchange without it can be said not to have been run.
	Sent bool
	// Answered is true when the header of an answer has arrived.
	Answered bool
	Cause    error
}

// Error names the address, what is known, and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s (sent %t, answered %t): %v", e.Address, e.Sent, e.Answered, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// StrayAnswersError is the cause of an exchange that was given up because
// answers to other requests kept coming.
type StrayAnswersError struct{ Count int }

// Error tells how many came.
func (e *StrayAnswersError) Error() string {
	return fmt.Sprintf("%d answers to other requests on one connection", e.Count)
}
