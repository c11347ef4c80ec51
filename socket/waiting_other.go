//go:build !linux

package socket

import "syscall"

// Waiting always returns false: this system has no check.
func Waiting(syscall.RawConn) bool { return false }
