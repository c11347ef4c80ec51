package socket

import (
	"errors"
	"syscall"
)

// Readable reports whether the next read on a connection would return at once, with data, the end
// of the connection or a reset. Unlike IdleReadable it may be called during a read.
func Readable(raw syscall.RawConn) bool {
	readable := false
	err := raw.Control(func(fd uintptr) {
		_, err := peek(fd)
		readable = !errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && readable
}
