//go:build !linux

package attempt

import (
	"syscall"
	"time"
)

// boundSilence leaves the system's own bound where there is no such option.
func boundSilence(syscall.RawConn, time.Duration) error { return nil }
