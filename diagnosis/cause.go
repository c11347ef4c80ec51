package diagnosis

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
)

// CauseID identifies the parts of a Cause.
type CauseID uint64

// String returns the id in hexadecimal.
func (id CauseID) String() string { return strconv.FormatUint(uint64(id), 16) }

// MarshalText returns the id in hexadecimal, since readers of JSON round large numbers.
func (id CauseID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// Cause is what crashes the upstreams of a service: requests that hold all of some parts.
type Cause struct {
	Service fleet.ServiceID
	// Parts are in ascending order, without repetitions.
	Parts prompt.Parts
	// Late is set if upstreams don't end when they begin to answer, but some time later.
	Late bool
	// Beside are other parts that several of the requests hold under which upstreams ended, and that
	// aren't known to be sound. They don't belong to what identifies the cause.
	Beside prompt.Parts
}

// NewCause returns a Cause.
func NewCause(service fleet.ServiceID, parts prompt.Parts, late bool) Cause {
	return Cause{Service: service, Parts: sortedSet(parts), Late: late}
}

// ID returns the id of the parts. It doesn't depend on the service: requests with these parts are refused
// wherever they would go.
func (c Cause) ID() CauseID {
	digest := xxhash.New()
	for _, part := range c.Parts {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(part)))
	}
	return CauseID(digest.Sum64())
}

// IsHeldBy reports whether a request with some parts holds all parts of the cause.
func (c Cause) IsHeldBy(parts prompt.Parts) bool {
	for _, part := range c.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return len(c.Parts) > 0
}

// isBeside reports whether a request with some parts holds any that was beside the cause and isn't sound.
func (c Cause) isBeside(parts prompt.Parts, isSound func(prompt.Part) bool) bool {
	return slices.ContainsFunc(parts, func(p prompt.Part) bool { return slices.Contains(c.Beside, p) && !isSound(p) })
}

// covers reports whether the requests of another cause are a part of those of this one.
func (c Cause) covers(other Cause) bool { return c.IsHeldBy(other.Parts) }

// without returns the parts of the cause that aren't among some others.
func (c Cause) without(parts prompt.Parts) prompt.Parts {
	return slices.DeleteFunc(slices.Clone(c.Parts), func(p prompt.Part) bool { return slices.Contains(parts, p) })
}

func sortedSet(parts prompt.Parts) prompt.Parts {
	out := slices.Clone(parts)
	slices.Sort(out)
	return slices.Compact(out)
}

// intersect returns the parts of a sorted set that are among some others.
func intersect(set, parts prompt.Parts) prompt.Parts {
	return slices.DeleteFunc(set, func(p prompt.Part) bool { return !slices.Contains(parts, p) })
}
