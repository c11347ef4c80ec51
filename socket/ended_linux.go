package socket

import (
	"errors"
	"syscall"
)

// Ended reports whether the other side has closed a connection and all that it sent was
// read, or has reset it. It reads nothing, doesn't wait, and may be called beside a read.
func Ended(raw syscall.RawConn) bool {
	ended := false
	err := raw.Control(func(fd uintptr) {
		n, err := peek(fd)
		ended = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && ended
}
