package schema

import "time"

// Millis returns a duration as messages carry it, in whole milliseconds; one below
// zero counts as zero.
func Millis(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// Duration is the inverse of Millis.
func Duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
