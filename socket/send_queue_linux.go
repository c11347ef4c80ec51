package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// SendQueueOf returns the state of what was written to a connection. It returns an error if the connection was closed on
// this side.
func SendQueueOf(raw syscall.RawConn) (SendQueue, error) {
	var queue SendQueue
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return // not a TCP connection, or not told
		}
		queue = SendQueue{
			Acknowledged: info.Bytes_acked, IsPending: info.Unacked > 0 || info.Notsent_bytes > 0, IsClosed: info.State == tcpClose,
		}
	})
	return queue, err
}
