package socket

import (
	"errors"
	"syscall"
)

// IdleReadable reports whether data, the end or a reset has arrived on an idle connection. It
// doesn't read or block.
func IdleReadable(raw syscall.RawConn) bool {
	readable := true
	err := raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		readable = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err != nil || readable
}

// peek checks for the next byte without reading it. It returns 1 if there is one, 0 if the peer has
// closed the connection, and EAGAIN if nothing has arrived.
func peek(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
