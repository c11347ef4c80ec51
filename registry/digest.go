package registry

import (
	"encoding/binary"
	"hash/fnv"
)

// Digest is a checksum of a list of upstreams that doesn't depend on the order of its entries.
type Digest uint64

// digestOf returns the contribution of an entry. It leaves out the fields that routers may state differently: the
// revision, which heartbeats raise, the time for which the upstream is cold, and the software version,
// which routers of an older build drop.
func digestOf(c Change) Digest {
	if c.Removed {
		return 0
	}
	u := c.Upstream
	h := fnv.New64a()
	for _, field := range []string{string(u.ID), string(u.Service), u.Address} {
		_, _ = h.Write([]byte(field)) // never fails
		_, _ = h.Write([]byte{0})
	}
	state := binary.LittleEndian.AppendUint64(nil, uint64(u.StartTime))
	if u.Draining {
		state = append(state, 1)
	}
	_, _ = h.Write(state)
	return Digest(h.Sum64())
}
