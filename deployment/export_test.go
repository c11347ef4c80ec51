package deployment

import "time"

// What the tests of the package see besides its public parts.
var (
	EncodeConfiguration = encodeConfiguration
	DecodeConfiguration = decodeConfiguration
)

// Overload is what the tests of the package see of overload.
type Overload struct{ overload }

// Observe is observe.
func (o *Overload) Observe(now time.Time, late time.Duration) { o.observe(now, late) }

// IsOverloaded is isOverloaded.
func (o *Overload) IsOverloaded() bool { return o.isOverloaded() }
