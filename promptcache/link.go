package promptcache

// Link is the network connection by which an engine copies parts from another. Its zero value
// is unknown.
type Link struct {
	// TokenBytes is the size of a kept token.
	TokenBytes int
	// MegabitsPerSecond is the speed of the connection.
	MegabitsPerSecond float64
}

// bytesPerMillisecond is a megabit per second, in bytes per millisecond: a million bits, divided
// by 8 bits per byte and 1000 ms per second.
const bytesPerMillisecond = 1e6 / 8 / 1000

const (
	// minCopyCost keeps a copy from counting as free: it takes a request to the other engine.
	minCopyCost = 0.02
	// ReadingCost is the cost of reading a token. A copy that costs as much isn't worthwhile.
	ReadingCost = 1.0
)

// IsSet reports whether the speed of the connection is known.
func (k Link) IsSet() bool { return k.TokenBytes > 0 && k.MegabitsPerSecond > 0 }

// TokensPerMillisecond returns how many tokens are copied in a millisecond.
func (k Link) TokensPerMillisecond() float64 {
	return k.MegabitsPerSecond * bytesPerMillisecond / float64(k.TokenBytes)
}

// CopyCost returns the cost of copying a token relative to reading it, given how many tokens
// the engine reads in a millisecond. The link must be set.
func (k Link) CopyCost(readingSpeed float64) float64 {
	return min(max(readingSpeed/k.TokensPerMillisecond(), minCopyCost), ReadingCost)
}
