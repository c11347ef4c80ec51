package socket

import (
	"errors"
	"syscall"
)

// PeerClosed reports whether the peer has closed a connection and everything that it sent was read, or
// has reset it. It doesn't read or block, and may be called during a read.
func PeerClosed(raw syscall.RawConn) bool {
	ended := false
	err := raw.Control(func(fd uintptr) {
		n, err := peek(fd)
		ended = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && ended
}
