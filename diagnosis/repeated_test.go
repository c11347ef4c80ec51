package diagnosis_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	upstreamCount   = 8
	repeatedRequest = quarantine.Fingerprint(7)
	// crashAge is how long a copy has run when its upstream ends.
	crashAge = 300 * time.Millisecond
)

// endedUpstream is the end of an upstream at a time, which ran some requests that were sent crashAge before.
type endedUpstream struct {
	at       time.Duration
	requests []quarantine.Fingerprint
}

// copies returns ends of upstreams that ran a copy of repeatedRequest, beside requests of their own.
func copies(at ...time.Duration) []endedUpstream {
	var out []endedUpstream
	for _, end := range at {
		out = append(out, endedUpstream{at: end, requests: []quarantine.Fingerprint{repeatedRequest, 1000 + quarantine.Fingerprint(len(out))}})
	}
	return out
}

// findRepeated plays ends of upstreams in order of time, and decisions after each as routers take them. It returns the requests that are
// to be refused, with the time of that.
func findRepeated(ended []endedUpstream, listed int, onSuspicion func(now time.Time, t *diagnosis.Tracker)) map[quarantine.Fingerprint]time.Duration {
	var tracker diagnosis.Tracker
	found := make(map[quarantine.Fingerprint]time.Duration)
	next := 0
	for elapsed := time.Duration(0); elapsed < ended[len(ended)-1].at+5*time.Second; elapsed += 10 * time.Millisecond {
		now := time.Unix(1_800_000_000, 0).Add(elapsed)
		for ; next < len(ended) && ended[next].at <= elapsed; next++ {
			crash := diagnosis.Crash{Service: modelService, Upstream: turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", next))}, At: time.Unix(1_800_000_000, 0).Add(ended[next].at)}
			for _, request := range ended[next].requests {
				crash.Runs = append(crash.Runs, diagnosis.Run{Request: request, SentAt: crash.At.Add(-crashAge)})
			}
			tracker.Count(now, crash)
		}
		if elapsed%diagnosis.AnswerTime != 0 {
			continue
		}
		decision := tracker.Decide(now, modelService, listed)
		if len(decision.Suspected) > 0 && onSuspicion != nil {
			onSuspicion(now, &tracker)
		}
		for _, f := range decision.Repeated {
			if _, known := found[f.Request]; !known {
				found[f.Request] = elapsed
			}
		}
	}
	return found
}

// Guards against copies of a request that run side by side and crash all their upstreams, but count as one crash.
func TestCopiesSideBySideCountByUpstream(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		ended  []endedUpstream
		listed int
		// crashes is the number of ends after which the request has to be refused within decisionTime, zero for never.
		crashes int
	}{
		{"three at once", copies(0, 0, 0), 8, 3},
		{"three within a quarter of a second", copies(0, 90*ms, 240*ms), 8, 3},
		{"six at once", copies(0, 0, 0, 0, 0, 0), 8, 6},
		{"two, and two again", copies(0, 20*ms, 5000*ms, 5010*ms), 8, 4},
		{"two, and another one", copies(0, 20*ms, 5000*ms), 8, 3},
		{"three of four, and again", copies(0, 50*ms, 90*ms, 5000*ms, 5050*ms, 5090*ms), 4, 6},
		{"all of a service", copies(0, 0, 0), 3, 0},
		{"another upstream ends at the same time", append(copies(0, 90*ms, 240*ms), endedUpstream{at: 900 * ms, requests: []quarantine.Fingerprint{1}}), 8, 0},
		{"three requests with copies at the same upstreams", []endedUpstream{
			{0, []quarantine.Fingerprint{1, 2, 3, repeatedRequest}}, {0, []quarantine.Fingerprint{1, 2, 3, repeatedRequest}}, {0, []quarantine.Fingerprint{1, 2, 3, repeatedRequest}},
		}, 8, 0},
		{"two upstreams", copies(0, 0), 8, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			found := findRepeated(c.ended, c.listed, nil)
			if c.crashes == 0 {
				require.Empty(t, found)
				return
			}
			const decisionTime = 2 * time.Second
			require.Contains(t, found, repeatedRequest)
			require.LessOrEqual(t, found[repeatedRequest], c.ended[c.crashes-1].at+decisionTime)
			require.Len(t, found, 1)
		})
	}
}

// Guards against refusing a sound request whose copies were at upstreams that ended, if a router has served it since.
func TestRequestThatIsClearedIsNotRefused(t *testing.T) {
	t.Parallel()
	found := findRepeated(copies(0, 0, 0), upstreamCount, func(now time.Time, tracker *diagnosis.Tracker) { tracker.ClearRequest(now, repeatedRequest) })
	require.Empty(t, found)
}

// Guards against refusing sound requests whose copies run side by side when some upstreams lose power, at once or one after the other.
func TestCopiesAtPowerCutsAreNotRefused(t *testing.T) {
	t.Parallel()
	const seeds, requests = 1000, 40
	for _, spread := range []time.Duration{1, 300 * time.Millisecond, 800 * time.Millisecond} {
		refused := 0
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, uint64(spread)))
			ended := make([]endedUpstream, 1+random.IntN(upstreamCount))
			order := random.Perm(upstreamCount)[:len(ended)]
			for i := range ended {
				ended[i].at = time.Duration(i) * spread / time.Duration(len(ended))
			}
			for request := range quarantine.Fingerprint(requests) {
				for _, upstream := range random.Perm(upstreamCount)[:3] {
					for i, end := range order {
						if end == upstream {
							ended[i].requests = append(ended[i].requests, 1+request)
						}
					}
				}
			}
			refused += len(findRepeated(ended, upstreamCount, nil))
		}
		require.Zero(t, refused, "spread %v", spread)
	}
}
