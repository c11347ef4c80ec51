//go:build !linux

package socket

import "syscall"

// Readable always returns false: this system has no check without reading.
func Readable(syscall.RawConn) (readable, isReset bool) { return false, false }
