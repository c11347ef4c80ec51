// Package settings reads the settings file of a router, finds contradictions
// in it, and knows the default of each value that the file may leave out.
package settings

import (
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
)

// The defaults. Those of the callers' bounds are in bytes.
const (
	defaultStopGrace       = time.Minute
	defaultStopNotice      = 2 * time.Second
	defaultPlatformTimeout = time.Second
	defaultMaxBody         = 1 << 20
	defaultMaxHeader       = 16 << 10
	defaultBodyTimeout     = 10 * time.Second
	defaultDeadline        = 2 * time.Minute
	defaultMaxDeadline     = 10 * time.Minute
	defaultMaxWaiting      = 256
	defaultMaxWaitingTotal = 4096
	defaultSharing         = "fair"
)

// Read returns the settings in data, or *document.FaultsError with everything
// that is wrong with them. The name of the file is only shown in faults.
func Read(file string, data []byte) (*schema.RouterSettings, error) {
	d := document.Parse[*schema.RouterSettings](file, data)
	contradictions(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return d.Message, nil
}

// StopGrace returns the bound of a graceful shutdown.
func StopGrace(s *schema.RouterSettings) time.Duration {
	return duration(s.GetStopGraceMs(), defaultStopGrace)
}

// StopNotice returns how long a stopping router goes on serving after its
// readiness is off.
func StopNotice(s *schema.RouterSettings) time.Duration {
	return duration(s.GetStopNoticeMs(), defaultStopNotice)
}

// PlatformTimeout returns the bound of one call to the platform.
func PlatformTimeout(s *schema.RouterSettings) time.Duration {
	return duration(s.GetPlatform().GetTimeoutMs(), defaultPlatformTimeout)
}

// MaxBody returns the bound of a request body in bytes.
func MaxBody(s *schema.RouterSettings) int64 {
	return int64(orDefault(s.GetCallers().GetMaxBodyBytes(), defaultMaxBody))
}

// MaxHeader returns the bound of a request header in bytes.
func MaxHeader(s *schema.RouterSettings) int {
	return int(orDefault(s.GetCallers().GetMaxHeaderBytes(), defaultMaxHeader))
}

// BodyTimeout returns the bound of the time that a caller takes to send its request.
func BodyTimeout(s *schema.RouterSettings) time.Duration {
	return duration(s.GetCallers().GetBodyTimeoutMs(), defaultBodyTimeout)
}

// DefaultDeadline returns the deadline of a caller that names none. Where only
// the maximum is set and is lower than the default, it is the maximum.
func DefaultDeadline(s *schema.RouterSettings) time.Duration {
	deadline := duration(s.GetCallers().GetDefaultDeadlineMs(), defaultDeadline)
	return min(deadline, MaxDeadline(s))
}

// MaxDeadline returns the longest deadline that a caller may ask for. Where
// only the default deadline is set and is higher, it is that one.
func MaxDeadline(s *schema.RouterSettings) time.Duration {
	if s.GetCallers().GetMaxDeadlineMs() > 0 {
		return duration(s.GetCallers().GetMaxDeadlineMs(), 0)
	}
	return max(defaultMaxDeadline, duration(s.GetCallers().GetDefaultDeadlineMs(), 0))
}

// MaxWaiting returns the bound of one account's waiting requests at this router.
func MaxWaiting(s *schema.RouterSettings) int {
	waiting := int(orDefault(s.GetQueue().GetMaxWaiting(), defaultMaxWaiting))
	return min(waiting, MaxWaitingTotal(s))
}

// MaxWaitingTotal returns the bound of all waiting requests at this router.
// Where only the bound of one account is set and is higher, it is that one.
func MaxWaitingTotal(s *schema.RouterSettings) int {
	if s.GetQueue().GetMaxWaitingTotal() > 0 {
		return int(s.GetQueue().GetMaxWaitingTotal())
	}
	return max(defaultMaxWaitingTotal, int(s.GetQueue().GetMaxWaiting()))
}

// Sharing returns the name of the way that capacity is shared.
func Sharing(s *schema.RouterSettings) string {
	if s.GetSharing() == "" {
		return defaultSharing
	}
	return s.GetSharing()
}

// LogLevel returns the lowest level that is logged, by default info.
func LogLevel(s *schema.RouterSettings) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.GetLogLevel())); err != nil {
		return slog.LevelInfo
	}
	return level
}

func duration(ms uint32, otherwise time.Duration) time.Duration {
	if ms == 0 {
		return otherwise
	}
	return time.Duration(ms) * time.Millisecond
}

func orDefault(value, otherwise uint32) uint32 {
	if value == 0 {
		return otherwise
	}
	return value
}
