package scheduler_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/placement"
)

// runPrompt runs one request with prompt prefixes through a router and returns its upstream.
func (f *testFleet) runPrompt(t *testing.T, id fleet.RouterID, prefixes ...uint64) string {
	t.Helper()
	slot, err := f.routers[id].Acquire(t.Context(), dispatch.Request{
		Account: f.view.Account("account-0"), Service: f.view.Service("model"), Estimate: 300,
		Deadline: time.Now().Add(time.Hour), Prefixes: prefixes,
	})
	require.NoError(t, err)
	time.Sleep(time.Second)
	slot.Release(dispatch.Completion{Result: dispatch.Answered, Cost: 300})
	return slot.Upstream().GetId()
}

// Requests with the same system prompt arrive at all routers and must go to few
// upstreams. If each router chose independently, every upstream would compute and
// cache that prefix.
func TestSharedPromptPrefixUsesFewUpstreams(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 12, 8))
		f.placement = placement.CacheAffinity{}
		ids := f.startAll(6)
		defer f.stopAll()
		used := make(map[string]bool)
		for i := range 24 {
			used[f.runPrompt(t, ids[i%6], 77, uint64(1000+i))] = true
		}
		require.LessOrEqual(t, len(used), 2)
	})
}

// Conversations with the same system prompt start at the same time and are spread
// over upstreams. The next turns of each must go to the upstream that has the whole
// conversation cached, not to one that has only the system prompt.
func TestConversationStaysAtItsUpstream(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, newView(1, 12, 1))
		f.placement = placement.CacheAffinity{}
		ids := f.startAll(6)
		defer f.stopAll()
		const conversations = 5
		var first [conversations]string
		var group sync.WaitGroup
		for i := range conversations {
			group.Go(func() { first[i] = f.runPrompt(t, ids[0], 77, uint64(1000+i)) })
		}
		group.Wait()
		for turn := range uint64(3) {
			for i := range conversations {
				require.Equal(t, first[i], f.runPrompt(t, ids[0], 77, uint64(1000+i), 2000+10*uint64(i)+turn))
			}
		}
	})
}
