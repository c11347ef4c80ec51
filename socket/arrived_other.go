//go:build !linux

package socket

import "syscall"

// Arrived always returns false: this system has no check without reading.
func Arrived(syscall.RawConn) bool { return false }
