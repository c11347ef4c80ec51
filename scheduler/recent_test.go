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

// prompt runs one request with a prompt through a router and returns its upstream.
func (f *testFleet) prompt(t *testing.T, id fleet.RouterID, blocks ...uint64) string {
	t.Helper()
	slot, err := f.routers[id].Acquire(t.Context(), dispatch.Work{
		Account: f.view.Account("account-0"), Service: f.view.Service("model"), Estimate: 300,
		Deadline: time.Now().Add(time.Hour), Prefix: blocks,
	})
	require.NoError(t, err)
	time.Sleep(time.Second)
	slot.Done(dispatch.Done{Result: dispatch.Answered, Cost: 300})
	return slot.Upstream().GetId()
}

// Requests that begin with the same system prompt arrive at all routers. Were
// each router to choose by itself, every upstream would compute and cache that
// beginning; they meet at few.
func TestEqualBeginningsMeetAtFewUpstreams(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 12, 8))
		f.placement = placement.Affinity{}
		ids := f.startAll(6)
		defer f.stopAll()
		used := make(map[string]bool)
		for i := range 24 {
			used[f.prompt(t, ids[i%6], 77, uint64(1000+i))] = true
		}
		require.LessOrEqual(t, len(used), 2)
	})
}

// Conversations with the same system prompt begin at one time, so that they
// are spread. The next turn of each has to reach the upstream that has the
// whole conversation cached, and not one that has the system prompt only.
func TestConversationStaysAtItsUpstream(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, viewOf(1, 12, 1))
		f.placement = placement.Affinity{}
		ids := f.startAll(6)
		defer f.stopAll()
		const conversations = 5
		var begun [conversations]string
		var group sync.WaitGroup
		for i := range conversations {
			group.Go(func() { begun[i] = f.prompt(t, ids[0], 77, uint64(1000+i)) })
		}
		group.Wait()
		for turn := range uint64(3) {
			for i := range conversations {
				require.Equal(t, begun[i], f.prompt(t, ids[0], 77, uint64(1000+i), 2000+10*uint64(i)+turn))
			}
		}
	})
}
