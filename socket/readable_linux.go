package socket

import (
	"errors"
	"syscall"
)

// Readable reports whether the next read on a connection would return at once, with data, the end
// of the connection or a reset. Unlike IdleReadable it may be called during a read.
//
// The system reports a reset once: if isReset is true, the next read ends as if the peer had closed the connection.
func Readable(raw syscall.RawConn) (readable, isReset bool) {
	err := raw.Control(func(fd uintptr) {
		_, err := peek(fd)
		readable = !errors.Is(err, syscall.EAGAIN)
		isReset = errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && readable, isReset
}
