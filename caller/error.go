package caller

import (
	"errors"
	"fmt"
	"os"

	"nutmeglock.example/nutmeglock/budget"
)

// HeadLinesError is returned by Read for a head of many lines in a process that has no time or memory for it.
type HeadLinesError struct{ Lines int64 }

// Error includes the number of lines.
func (e *HeadLinesError) Error() string {
	return fmt.Sprintf("a head of %d lines and more while the process is short of time or memory", e.Lines)
}

// HeadTooLargeError is returned by Read for a head over the limit.
type HeadTooLargeError struct{ Limit int64 }

// Error includes the limit.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head is longer than %d bytes", e.Limit)
}

// FramingError is returned for a body that takes many more bytes than it holds, in a process that has no time for it.
type FramingError struct {
	// Bytes is how many bytes were read, and Body how many of them belong to the body itself.
	Bytes, Body int64
}

// Error includes the sizes.
func (e *FramingError) Error() string {
	return fmt.Sprintf("%d bytes were read for %d bytes of a body", e.Bytes, e.Body)
}

// IsShortOfMemory reports whether a body wasn't read because callers hold too much memory.
func IsShortOfMemory(err error) bool {
	var (
		exhausted *budget.ExhaustedError
		evicted   *budget.EvictedError
	)
	return errors.As(err, &exhausted) || errors.As(err, &evicted)
}

// IsTooSlow reports whether a body didn't come in time.
func IsTooSlow(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
