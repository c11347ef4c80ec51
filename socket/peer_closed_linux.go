package socket

import (
	"errors"
	"syscall"
)

// PeerClosed reports whether the peer has reset a connection, or has closed it and everything that
// it sent was read. It doesn't read or block, and may be called during a read.
func PeerClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		n, err := peek(fd)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && closed
}
