//go:build !linux

package socket

import (
	"syscall"
	"time"
)

// BoundSilence leaves the system's own bound where there is no such option.
func BoundSilence(syscall.RawConn, time.Duration) error { return nil }
