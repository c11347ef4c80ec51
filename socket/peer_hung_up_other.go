//go:build !linux

package socket

import "syscall"

// PeerHungUp returns false: this system has no such state.
func PeerHungUp(syscall.RawConn) bool { return false }
