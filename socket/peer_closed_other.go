//go:build !linux

package socket

import "syscall"

// PeerClosed always returns false: this system has no check without reading.
func PeerClosed(syscall.RawConn) bool { return false }
