//go:build !linux

package socket

import (
	"syscall"
	"time"
)

// SetUserTimeout does nothing: this system has no such option and keeps its own limit.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }
