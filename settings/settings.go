// Package settings reads the settings file of a router, finds contradictions in
// it, and provides the default of each optional value.
package settings

import (
	"log/slog"
	"time"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
)

// Defaults of optional values.
const (
	defaultStopGrace       = time.Minute
	defaultStopNotice      = 2 * time.Second
	defaultPlatformTimeout = time.Second
	defaultMaxBodyBytes    = 1 << 20
	defaultMaxHeaderBytes  = 16 << 10
	defaultMaxHeldBytes    = 256 << 20
	defaultMaxConnections  = 4096
	defaultBodyTimeout     = 10 * time.Second
	defaultDeadline        = 2 * time.Minute
	defaultMaxDeadline     = 10 * time.Minute
	defaultMaxWaiting      = 256
	defaultMaxWaitingTotal = 4096
	defaultSharing         = "fair"
)

// Parse returns the settings in data, or *document.FaultsError with all faults.
// The file name is only shown in faults.
func Parse(file string, data []byte) (*schema.RouterSettings, error) {
	d := document.Parse[*schema.RouterSettings](file, data)
	checkContradictions(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return d.Message, nil
}

// StopGrace returns the time limit of a graceful shutdown.
func StopGrace(s *schema.RouterSettings) time.Duration {
	return durationOrDefault(s.GetStopGraceMs(), defaultStopGrace)
}

// StopNotice returns how long a stopping router continues to serve after it
// reports that it is not ready.
func StopNotice(s *schema.RouterSettings) time.Duration {
	return durationOrDefault(s.GetStopNoticeMs(), defaultStopNotice)
}

// PlatformTimeout returns the time limit of one call to the platform.
func PlatformTimeout(s *schema.RouterSettings) time.Duration {
	return durationOrDefault(s.GetPlatform().GetTimeoutMs(), defaultPlatformTimeout)
}

// MaxBodyBytes returns the maximum size of a request body in bytes.
func MaxBodyBytes(s *schema.RouterSettings) int64 {
	return int64(orDefault(s.GetCallers().GetMaxBodyBytes(), defaultMaxBodyBytes))
}

// MaxHeaderBytes returns the maximum size of a request header in bytes.
func MaxHeaderBytes(s *schema.RouterSettings) int {
	return int(orDefault(s.GetCallers().GetMaxHeaderBytes(), defaultMaxHeaderBytes))
}

// MaxHeldBytes returns the maximum memory in bytes for the requests and answers of all callers.
func MaxHeldBytes(s *schema.RouterSettings) int64 {
	return int64(orDefault(s.GetCallers().GetMaxHeldBytes(), defaultMaxHeldBytes))
}

// MaxConnections returns the maximum number of callers' connections.
func MaxConnections(s *schema.RouterSettings) int {
	return int(orDefault(s.GetCallers().GetMaxConnections(), defaultMaxConnections))
}

// BodyTimeout returns the time limit for a caller to send its request body.
func BodyTimeout(s *schema.RouterSettings) time.Duration {
	return durationOrDefault(s.GetCallers().GetBodyTimeoutMs(), defaultBodyTimeout)
}

// DefaultDeadline returns the deadline of a request without one. If only the
// maximum is set and is below the default, the maximum applies.
func DefaultDeadline(s *schema.RouterSettings) time.Duration {
	deadline := durationOrDefault(s.GetCallers().GetDefaultDeadlineMs(), defaultDeadline)
	return min(deadline, MaxDeadline(s))
}

// MaxDeadline returns the longest deadline that a caller may request. If only
// the default deadline is set and is above the maximum, it is the maximum too.
func MaxDeadline(s *schema.RouterSettings) time.Duration {
	if s.GetCallers().GetMaxDeadlineMs() > 0 {
		return durationOrDefault(s.GetCallers().GetMaxDeadlineMs(), 0)
	}
	return max(defaultMaxDeadline, durationOrDefault(s.GetCallers().GetDefaultDeadlineMs(), 0))
}

// MaxWaiting returns the maximum number of waiting requests of one account at
// this router. It is at most MaxWaitingTotal.
func MaxWaiting(s *schema.RouterSettings) int {
	waiting := int(orDefault(s.GetQueue().GetMaxWaiting(), defaultMaxWaiting))
	return min(waiting, MaxWaitingTotal(s))
}

// MaxWaitingTotal returns the maximum number of waiting requests at this router.
// If only the maximum of one account is set and is higher, that applies.
func MaxWaitingTotal(s *schema.RouterSettings) int {
	if s.GetQueue().GetMaxWaitingTotal() > 0 {
		return int(s.GetQueue().GetMaxWaitingTotal())
	}
	return max(defaultMaxWaitingTotal, int(s.GetQueue().GetMaxWaiting()))
}

// Sharing returns the name of the policy by which capacity is shared.
func Sharing(s *schema.RouterSettings) string {
	if s.GetSharing() == "" {
		return defaultSharing
	}
	return s.GetSharing()
}

// LogLevel returns the minimum log level, by default info.
func LogLevel(s *schema.RouterSettings) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.GetLogLevel())); err != nil {
		return slog.LevelInfo
	}
	return level
}

func durationOrDefault(ms uint32, fallback time.Duration) time.Duration {
	if ms == 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

func orDefault(value, fallback uint32) uint32 {
	if value == 0 {
		return fallback
	}
	return value
}
