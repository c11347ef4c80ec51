//go:build !linux

package socket

import "syscall"

// Pending always returns false: this system has no check without reading.
func Pending(syscall.RawConn) bool { return false }
