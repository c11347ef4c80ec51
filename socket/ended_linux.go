package socket

import "syscall"

// Ended reports whether the other side has closed a connection and all that it sent was
// read, or has reset it. It reads nothing, doesn't wait, and may be called beside a read.
func Ended(raw syscall.RawConn) bool {
	ended := false
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return err == nil && ended
}
