// Package socket sets socket options and queries socket states that package net doesn't offer.
package socket

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7).
const tcpUserTimeout = 0x12

// SetUserTimeout makes the system close a connection whose sent data stays unacknowledged for
// timeout. Without it TCP resends a request that is lost in a network partition for a quarter of an
// hour, and its caller waits until the deadline; keep-alive probes aren't sent while data is
// unacknowledged.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return control(raw, func(fd int) error {
		return syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}
