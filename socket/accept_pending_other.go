//go:build !linux

package socket

import "syscall"

// AcceptPending always returns false: this system has no check.
func AcceptPending(syscall.RawConn) bool { return false }
