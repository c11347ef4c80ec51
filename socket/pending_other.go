//go:build !linux

package socket

import "syscall"

// Pending reports false where it can't be told without reading.
func Pending(syscall.RawConn) bool { return false }
