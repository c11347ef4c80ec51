package socket

import "syscall"

// SetBuffers limits the bytes that a connection keeps in the kernel in each direction: those that were received and not read,
// and those that weren't acknowledged. Connections that a listener accepts have its limits. Linux doubles the sizes and
// counts its own overhead, so at most twice as much is kept.
func SetBuffers(raw syscall.RawConn, receive, send int) error {
	return control(raw, func(fd int) error {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive); err != nil {
			return err
		}
		return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
	})
}

// SetBacklog limits the connections that a listener keeps before they are accepted.
func SetBacklog(raw syscall.RawConn, connections int) error {
	return control(raw, func(fd int) error { return syscall.Listen(fd, connections) })
}

func control(raw syscall.RawConn, call func(fd int) error) error {
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = call(int(fd)) }); err != nil {
		return err
	}
	return failed
}
