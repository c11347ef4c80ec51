package scheduler

import "nutmeglock.example/nutmeglock/fleet"

// prefixGenerationSize limits the prefixes in each of two generations. It is enough
// for a quarter of an hour at 150 requests a second with a few new prefixes each,
// at some 50 bytes a prefix.
const prefixGenerationSize = 65_536

// recentPrefixes maps prompt prefixes to the upstream that they were last sent to.
// The next turn of a conversation finds its prompt in that upstream's cache; by
// its first block alone it could go to any upstream that caches the same system
// prompt. Its zero value is ready to use.
type recentPrefixes struct {
	current  map[uint64]fleet.ShortID
	previous map[uint64]fleet.ShortID
}

// record records that a prompt with these prefixes is sent to an upstream.
func (r *recentPrefixes) record(prefixes []uint64, upstream fleet.ShortID) {
	if r.current == nil || len(r.current) >= prefixGenerationSize {
		r.previous = r.current
		r.current = make(map[uint64]fleet.ShortID)
	}
	for _, prefix := range prefixes {
		r.current[prefix] = upstream
	}
}

// find returns the upstream that the longest known prefix was last sent to, and
// whether one is known.
func (r *recentPrefixes) find(prefixes []uint64) (fleet.ShortID, bool) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if upstream, ok := r.current[prefixes[i]]; ok {
			return upstream, true
		}
		if upstream, ok := r.previous[prefixes[i]]; ok {
			return upstream, true
		}
	}
	return 0, false
}
