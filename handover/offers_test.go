package handover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/overload"
)

const sampleInterval = 50 * time.Millisecond

// helper is a helper in virtual time that gets samples and renews its offers.
type helper struct {
	handover.Offers
	now    time.Time
	sample handover.Sample
}

func newHelper(begun int) *helper {
	return &helper{now: time.Unix(1, 0), sample: handover.Sample{Begun: begun, Room: 1000}}
}

// run lets time pass while the routers ask, and returns the requests offered to each per second.
func (h *helper) run(period time.Duration, askers ...fleet.RouterID) map[fleet.RouterID]float64 {
	offered := make(map[fleet.RouterID]float64)
	for end := h.now.Add(period); h.now.Before(end); h.now = h.now.Add(sampleInterval) {
		h.Observe(h.now, h.sample)
		for _, router := range askers {
			if offer, isNew := h.Ask(h.now, router); isNew {
				offered[router] += float64(offer.Requests)
			}
		}
		for _, offer := range h.Renew(h.now) {
			offered[offer.Router] += float64(offer.Requests)
		}
	}
	for router := range offered {
		offered[router] /= period.Seconds()
	}
	return offered
}

// Guards against two floods that get twice what a helper can take.
func TestTwoFloodsDivideOffers(t *testing.T) {
	t.Parallel()
	h := newHelper(20)
	h.run(3 * time.Second)
	one := h.run(3*time.Second, "a")["a"]
	both := h.run(3*time.Second, "a", "b")
	require.InEpsilon(t, one, both["a"]+both["b"], 0.1)
	require.InEpsilon(t, both["a"], both["b"], 0.2)
}

// Guards against a part that stays reserved for a flood that has moved to another router.
func TestAFloodThatMovesKeepsItsOffers(t *testing.T) {
	t.Parallel()
	h := newHelper(20)
	h.run(3 * time.Second)
	before := h.run(3*time.Second, "a")["a"]
	h.run(1100*time.Millisecond, "b")
	after := h.run(3*time.Second, "b")
	require.InEpsilon(t, before, after["b"], 0.1)
	require.NotContains(t, after, fleet.RouterID("a"))
}

// Guards against offers of a helper that has no processor time for its own callers.
func TestBusyHelperOffersNothing(t *testing.T) {
	t.Parallel()
	for _, sample := range []handover.Sample{{Busy: true, Room: 9}, {Wait: overload.LowWait, Room: 9}, {Room: 0}} {
		h := newHelper(20)
		h.run(time.Second, "a")
		h.sample = sample
		h.Observe(h.now, sample)
		withdrawn := h.Renew(h.now)
		if sample.Room > 0 {
			require.Equal(t, []handover.Offer{{Router: "a"}}, withdrawn, "at once")
		}
		require.Zero(t, h.run(2*time.Second, "a", "b")["b"])
	}
	var idle handover.Offers
	offer, isNew := idle.Ask(time.Unix(1, 0), "a")
	require.True(t, isNew)
	require.Zero(t, offer.Requests, "before the first sample")
}

// Guards against an idle helper that never takes more than it has proven, and against one that is
// flooded again as soon as it recovers.
func TestOffersGrowWhileThereIsTimeAndFallFast(t *testing.T) {
	t.Parallel()
	h := newHelper(0)
	h.run(time.Second)
	require.InDelta(t, 16, h.run(time.Second, "a")["a"], 4, "at least a few")
	rate := 16.0
	for range 40 { // all offers are taken
		h.sample.Begun = int(rate) / 4
		h.Observe(h.now, h.sample)
		h.sample.Begun = 0
		rate = h.run(250*time.Millisecond, "a")["a"]
	}
	require.Greater(t, rate, 100.0)
	h.sample.Wait = overload.LowWait
	h.run(500*time.Millisecond, "a")
	h.sample.Wait = 0
	require.Less(t, h.run(500*time.Millisecond, "a")["a"], rate/2)
}

// Guards against requests for a router that has frozen or was cut off after its offer, and against
// more than a router has offered.
func TestOffersAge(t *testing.T) {
	t.Parallel()
	now := time.Unix(1, 0)
	var h handover.Helpers
	h.Record(now, handover.Offer{Router: "c", Requests: 9}) // its address isn't known
	h.Add(handover.Helper{Router: "a"})
	h.Add(handover.Helper{Router: "b"})
	h.Record(now, handover.Offer{Router: "a", Requests: 1})
	h.Record(now, handover.Offer{Router: "b", Requests: 2})
	require.Equal(t, []fleet.RouterID{"b", "a", "b", ""}, take(&h, now.Add(time.Second), 4))
	h.Record(now, handover.Offer{Router: "a", Requests: 9})
	require.Equal(t, []fleet.RouterID{""}, take(&h, now.Add(1001*time.Millisecond), 1))
	h.Forget("a")
	require.False(t, h.Knows("a"))
}

// Guards against callers that wait in vain, one after the other, for a helper that can't be reached.
func TestUnreachableHelperIsLeftOut(t *testing.T) {
	t.Parallel()
	now := time.Unix(1, 0)
	var h handover.Helpers
	h.Add(handover.Helper{Router: "a"})
	h.Record(now, handover.Offer{Router: "a", Requests: 9})
	require.True(t, h.ShouldAsk(now))
	require.False(t, h.ShouldAsk(now.Add(499*time.Millisecond)), "a query for each request would be too many")
	require.True(t, h.ShouldAsk(now.Add(500*time.Millisecond)))
	h.RecordFailure(now, "a")
	h.RecordConnected("a")
	h.RecordFailure(now, "a")
	require.Equal(t, []fleet.RouterID{"a"}, take(&h, now, 1), "a single failure may be this router's own")
	h.RecordFailure(now, "a")
	h.Record(now.Add(time.Second), handover.Offer{Router: "a", Requests: 9})
	require.Equal(t, []fleet.RouterID{""}, take(&h, now.Add(time.Second), 1))
	require.Equal(t, []fleet.RouterID{"a"}, take(&h, now.Add(1100*time.Millisecond), 1))
}

func take(h *handover.Helpers, now time.Time, times int) []fleet.RouterID {
	var taken []fleet.RouterID
	for range times {
		helper, _ := h.Take(now)
		taken = append(taken, helper.Router)
	}
	return taken
}
