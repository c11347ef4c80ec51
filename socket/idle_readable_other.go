//go:build !linux

package socket

import "syscall"

// IdleReadable always returns false: this system has no check without reading.
func IdleReadable(syscall.RawConn) bool { return false }
