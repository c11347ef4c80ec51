package socket

import (
	"errors"
	"syscall"
)

// IdleReadable reports whether anything has arrived on an idle connection: data, its end or a reset. It
// doesn't read or block.
func IdleReadable(raw syscall.RawConn) bool {
	pending := true
	err := raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		pending = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err != nil || pending
}

// peek checks for the next byte without reading it. It returns 1 if there is one, 0 if the peer has
// closed the connection, and EAGAIN if nothing has arrived.
func peek(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
