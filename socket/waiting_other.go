//go:build !linux

package socket

import "syscall"

// Waiting reports false: it isn't known on this system.
func Waiting(syscall.RawConn) bool { return false }
