package scheduler

import "nutmeglock.example/nutmeglock/fleet"

// recentCapacity bounds the beginnings of prompts that are remembered in each
// of two generations: a quarter of an hour of 150 requests a second with a few
// new blocks each, at some 50 bytes a block.
const recentCapacity = 65_536

// recent remembers which upstream each beginning of a prompt was sent to last.
// The next turn of a conversation finds its prompt in that upstream's cache;
// by its first block alone it would go to any upstream that serves the same
// system prompt. Its zero value is ready to use.
type recent struct {
	young map[uint64]fleet.Number
	old   map[uint64]fleet.Number
}

// sent takes note that a prompt with these beginnings goes to an upstream.
func (r *recent) sent(blocks []uint64, upstream fleet.Number) {
	if r.young == nil || len(r.young) >= recentCapacity {
		r.old = r.young
		r.young = make(map[uint64]fleet.Number)
	}
	for _, block := range blocks {
		r.young[block] = upstream
	}
}

// find returns where the longest known beginning was sent, and whether one is known.
func (r *recent) find(blocks []uint64) (fleet.Number, bool) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if upstream, ok := r.young[blocks[i]]; ok {
			return upstream, true
		}
		if upstream, ok := r.old[blocks[i]]; ok {
			return upstream, true
		}
	}
	return 0, false
}
