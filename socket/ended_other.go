//go:build !linux

package socket

import "syscall"

// Ended always returns false: this system has no check without reading.
func Ended(syscall.RawConn) bool { return false }
