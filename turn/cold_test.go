package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/turn"
)

// coldPolicy lets one router send five requests a second to a cold engine.
func coldPolicy() coldstart.Policy {
	return coldstart.Policy{Duration: 3 * time.Second, Limit: coldstart.Tolerance{Factor: 1.5, Slack: 5}.Limit(5)}
}

// newPoolWithCold returns a pool of n engines of which the first cold are cold for three seconds.
func newPoolWithCold(n, cold int) *turn.Pool {
	p := &turn.Pool{}
	engines := newEngines(n)
	for i := range cold {
		engines[i].ColdUntil = start.Add(3 * time.Second)
	}
	p.SetColdStart(coldPolicy())
	p.SetUpstreams(start, engines, target)
	return p
}

// play submits a request for another prefix each 10 ms, which ends 50 ms after its turn, and returns
// when each engine was sent requests and how many were refused.
func play(t *testing.T, p *turn.Pool, from, duration time.Duration) (sent map[fleet.UpstreamID][]time.Duration, refused int) {
	t.Helper()
	sent = make(map[fleet.UpstreamID][]time.Duration)
	var running []*turn.Ticket
	for at := from; at < from+duration; at += 10 * time.Millisecond {
		now := start.Add(at)
		if len(running) >= 5 {
			running[0].RecordFirstEvent(now)
			running[0].End(now, turn.Served)
			running = running[1:]
		}
		r := prompt("a", uint64(at), uint64(at)+1, 0)
		r.Input, r.Prefixes = 100, nil
		ticket, err := p.Submit(now, r)
		if err != nil || (!isGranted(ticket) && ticket.Cancel(now) != nil) {
			refused++
			continue
		}
		sent[ticket.Upstream().ID] = append(sent[ticket.Upstream().ID], at)
		running = append(running, ticket)
	}
	return sent, refused
}

// busiestSecond returns the most requests within any second.
func busiestSecond(sent []time.Duration) int {
	most, first := 0, 0
	for i := range sent {
		for sent[i]-sent[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// The load of a release: some engines have just restarted, and the requests of all prefixes go on. Guards
// against cold engines that crash under the requests of the prefixes that they own, and against refusals
// while other engines are warm.
func TestReleaseSendsColdEnginesWhatTheyTolerate(t *testing.T) {
	t.Parallel()
	p := newPoolWithCold(4, 2)
	sent, refused := play(t, p, 0, 2900*time.Millisecond)
	require.Zero(t, refused)
	for _, cold := range []fleet.UpstreamID{"e0", "e1"} {
		require.LessOrEqual(t, busiestSecond(sent[cold]), 5, "%s", cold)
	}
	require.Greater(t, busiestSecond(sent["e2"])+busiestSecond(sent["e3"]), 60, "warm engines take the rest")
	sent, _ = play(t, p, 3100*time.Millisecond, time.Second)
	require.Greater(t, busiestSecond(sent["e0"]), 10, "warm again")
}

// The load after all engines have crashed: each is cold. Guards against requests that wait in vain, and
// against a rate that isn't used.
func TestRequestsAreRefusedAtOnceWhileAllEnginesAreCold(t *testing.T) {
	t.Parallel()
	p := newPoolWithCold(2, 2)
	sent, _ := play(t, p, 0, 2900*time.Millisecond)
	for id, times := range sent {
		require.LessOrEqual(t, busiestSecond(times), 5, "%s", id)
		require.GreaterOrEqual(t, len(times), 13, "%s is used at nine tenths of its rate", id)
	}
	require.Len(t, sent, 2)
}

// Guards against a caller that is held until its deadline though no cold engine can take its request.
func TestRequestBeyondTheColdRateIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	p := newPoolWithCold(2, 2)
	granted := 0
	var refused *turn.RefusedError
	for i := range uint64(14) {
		r := prompt("a", i, i, 0)
		r.Input, r.Prefixes = 100, nil
		ticket, err := p.Submit(start, r)
		switch {
		case err != nil:
			require.ErrorAs(t, err, &refused)
		case isGranted(ticket):
			granted++
		}
	}
	require.Equal(t, 10, granted)
	require.NotNil(t, refused)
	require.False(t, refused.NoUpstream)
	require.Greater(t, refused.RetryAfter, 400*time.Millisecond, "the engines take no more sooner")
	require.LessOrEqual(t, refused.RetryAfter, 3*time.Second, "by then they are warm")
}

// Guards against two routers that each use the whole rate of a cold engine.
func TestRouterThatDoesNotOwnAColdEngineSendsNothing(t *testing.T) {
	t.Parallel()
	p := newPoolWithCold(2, 1)
	skipped := make(map[turn.ColdReason]int)
	p.OwnsCold = func(time.Time, fleet.UpstreamID, int) bool { return false }
	p.OnColdSkipped = func(reason turn.ColdReason) { skipped[reason]++ }
	sent, refused := play(t, p, 0, 2900*time.Millisecond)
	require.Zero(t, refused)
	require.Empty(t, sent["e0"])
	require.Positive(t, skipped[turn.ColdNotOwner])
	require.Zero(t, skipped[turn.ColdLimit])
}

// Guards against an engine that crashed and restarted while its entry could not be read: the router has
// to notice by itself that it may be cold.
func TestEngineThatRefusedAConnectionCountsAsCold(t *testing.T) {
	t.Parallel()
	p := newPoolWithCold(1, 0)
	ticket, err := p.Submit(start, prompt("a", 1, 2, 0))
	require.NoError(t, err)
	ticket.End(start, turn.Unreachable)
	sent, _ := play(t, p, time.Second, 1900*time.Millisecond)
	require.LessOrEqual(t, busiestSecond(sent["e0"]), 5)
	require.NotEmpty(t, sent["e0"])
}
