package upstream

import (
	"fmt"
	"io"
)

const (
	// maxHeadBytes bounds what is received until the header of an answer is complete, interim answers (1xx) included.
	maxHeadBytes = 64 << 10
	// maxInterimAnswers is how many interim answers may precede an answer.
	maxInterimAnswers = 8
)

// HeadTooLargeError is the cause of an exchange that was aborted because what arrived didn't become the header of an
// answer within Bytes, or within a number of interim answers.
type HeadTooLargeError struct{ Bytes, InterimAnswers int }

// Error states what had arrived.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("no header of an answer within %d bytes and %d interim answers", e.Bytes, e.InterimAnswers)
}

// headLimiter bounds the bytes that are read from a connection while the header of an answer is expected. Its zero value bounds
// nothing.
type headLimiter struct {
	inner io.Reader
	// limited is set while a header is expected, and left is how many bytes may still be read.
	limited bool
	left    int
	// exceeded is set once more was to be read. The parser of headers may report that as another error.
	exceeded bool
}

// begin bounds what is read until end is called. buffered bytes have been read already.
func (l *headLimiter) begin(buffered int) {
	l.limited = true
	l.left = max(maxHeadBytes-buffered, 0)
}

func (l *headLimiter) end() { l.limited = false }

// Read reads from the connection, and fails with *HeadTooLargeError once too much was read.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.inner.Read(p)
	}
	if l.left <= 0 {
		l.exceeded = true
		return 0, &HeadTooLargeError{Bytes: maxHeadBytes}
	}
	n, err := l.inner.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
