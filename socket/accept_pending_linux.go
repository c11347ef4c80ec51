package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// AcceptPending reports whether a listener has a connection to accept.
func AcceptPending(raw syscall.RawConn) bool {
	pending := false
	err := raw.Control(func(fd uintptr) {
		entries := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(entries, 0)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}
