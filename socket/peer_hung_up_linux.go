package socket

import "syscall"

// tcpClose and tcpCloseWait are states of tcp(7): the connection has ended, and the peer has closed its side.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// PeerHungUp reports whether the peer has closed or reset a connection, whatever of it wasn't read yet.
func PeerHungUp(raw syscall.RawConn) bool {
	hungUp := false
	err := raw.Control(func(fd uintptr) {
		state, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		hungUp = err == nil && (state&0xff == tcpClose || state&0xff == tcpCloseWait)
	})
	return err == nil && hungUp
}
