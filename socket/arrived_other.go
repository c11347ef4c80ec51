//go:build !linux

package socket

import "syscall"

// Arrived reports false: it isn't known on this system.
func Arrived(syscall.RawConn) bool { return false }
