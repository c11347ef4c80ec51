//go:build !linux

package socket

import (
	"syscall"
	"time"
)

// BoundSilence does nothing: this system has no such option and keeps its own limit.
func BoundSilence(syscall.RawConn, time.Duration) error { return nil }
