// Package socket sets the options of connections that the standard library has no
// method for.
package socket

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7).
const tcpUserTimeout = 0x12

// BoundSilence makes the system give a connection up when what was sent on it
// is not acknowledged for so long. Without it a request that a partition
// swallows is sent again by TCP for a quarter of an hour, and its caller waits
// until the deadline; keep-alive probes don't help while bytes are on the way.
func BoundSilence(raw syscall.RawConn, silence time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
