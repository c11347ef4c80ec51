package socket

import (
	"errors"
	"syscall"
)

// Pending reports whether something has arrived on an idle connection: bytes,
// the other side's end or a reset. It reads nothing and doesn't wait.
func Pending(raw syscall.RawConn) bool {
	pending := true
	err := raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		pending = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err != nil || pending
}

// peek looks for the next byte without reading it. It returns how many there are, zero
// once the other side has ended, and EAGAIN while nothing has arrived.
func peek(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
