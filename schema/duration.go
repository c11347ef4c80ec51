package schema

import "time"

// Millis converts a duration to the whole milliseconds of a message field. A
// negative duration becomes zero.
func Millis(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// Duration converts the milliseconds of a message field to a duration.
func Duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
