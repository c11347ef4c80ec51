package socket

import "syscall"

// Pending reports whether something has arrived on an idle connection: bytes,
// the other side's end or a reset. It reads nothing and doesn't wait.
func Pending(raw syscall.RawConn) bool {
	pending := true
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = err != syscall.EAGAIN
		return true
	})
	return err != nil || pending
}
