//go:build !linux

package socket

import "syscall"

// SetBuffers does nothing: this system keeps its own limits.
func SetBuffers(syscall.RawConn, int, int) error { return nil }

// SetBacklog does nothing: this system keeps its own limit.
func SetBacklog(syscall.RawConn, int) error { return nil }
