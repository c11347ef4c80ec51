package deployment_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
	"nutmeglock.example/nutmeglock/upstream"
)

const (
	crashingPart prompt.Part = 7
	soundPart    prompt.Part = 100
)

// subject returns a request of its own with some parts.
func subject(number int, parts ...prompt.Part) quarantine.Subject {
	return quarantine.Subject{Service: "s", Request: quarantine.Fingerprint(number), Parts: parts}
}

// refusesPart reports whether the router refuses a request that is like those under which upstreams ended; one that is
// unlike them may be sent once.
func (n *node) refusesPart() bool {
	return n.mesh.Quarantine().RefusedFor(time.Now(), subject(1_000_000, 200, crashingPart)) > 0
}

// crashOnParts reports upstreams that end as they begin to answer requests with the crashing part, while others are
// answered.
func (n *node) crashOnParts(count int) {
	for i := range count {
		sentAt := time.Now()
		time.Sleep(60 * time.Millisecond)
		n.mesh.Quarantine().RecordBroken(forward.BrokenRequest{
			Subject: subject(100+i, crashingPart, prompt.Part(200+i)), Upstream: testUpstream(i), SentAt: sentAt, Stage: diagnosis.Beginning,
		})
		time.Sleep(propagationTime)
		for part := range prompt.Part(8) {
			n.mesh.Quarantine().RecordSound(time.Now(), subject(1+int(part), soundPart+part), true)
		}
	}
	// The counting routers know of sound parts once they have asked, or with a report.
	sound := make(prompt.Parts, 8)
	for part := range sound {
		sound[part] = soundPart + prompt.Part(part)
	}
	n.mesh.Quarantine().RecordBroken(forward.BrokenRequest{
		Subject: subject(99, sound...), Upstream: testUpstream(count), SentAt: time.Now(), Stage: diagnosis.Answering,
	})
}

// Guards against a router that sends what crashes upstreams because it neither saw the crashes nor was connected when
// the verdict was broadcast.
func TestPartThatCrashesUpstreamsIsRefusedAtAllRouters(t *testing.T) {
	t.Parallel()
	one, two, late := newNode(t, "one"), newNode(t, "two"), newNode(t, "late")
	one.connect(t, map[fleet.RouterID]string{"two": two.address})
	require.False(t, one.mesh.Quarantine().IsActive(time.Now()))
	one.crashOnParts(4)
	require.Eventually(t, one.refusesPart, maxUpdateTime, time.Millisecond)
	require.Eventually(t, two.refusesPart, maxUpdateTime, time.Millisecond)
	require.True(t, two.mesh.Quarantine().IsActive(time.Now()))
	late.connect(t, map[fleet.RouterID]string{"two": two.address})
	require.Eventually(t, late.refusesPart, maxUpdateTime, time.Millisecond)
}

// Guards against a refusal that an operator has lifted staying in force at some routers.
func TestLiftedRefusalEndsAtAllRouters(t *testing.T) {
	t.Parallel()
	one, two := newNode(t, "one"), newNode(t, "two")
	one.connect(t, map[fleet.RouterID]string{"two": two.address})
	one.crashOnParts(4)
	require.Eventually(t, two.refusesPart, maxUpdateTime, time.Millisecond)
	lifted := diagnosis.Entry{Cause: diagnosis.NewCause("s", prompt.Parts{crashingPart}, false), IsLifted: true}
	one.mesh.RestoreQuarantine([]diagnosis.Entry{lifted})
	require.False(t, one.refusesPart())
	require.Eventually(t, func() bool { return !two.refusesPart() }, maxUpdateTime, time.Millisecond)
}

// Guards against each router of a fleet sending a request once its term is over.
func TestOneRouterOfTheFleetTriesARefusedPart(t *testing.T) {
	t.Parallel()
	nodes := []*node{newNode(t, "one"), newNode(t, "two"), newNode(t, "three")}
	nodes[0].connect(t, map[fleet.RouterID]string{"two": nodes[1].address, "three": nodes[2].address})
	nodes[1].connect(t, map[fleet.RouterID]string{"one": nodes[0].address, "three": nodes[2].address})
	entry := diagnosis.Entry{
		Cause: diagnosis.NewCause("s", prompt.Parts{crashingPart}, false), Term: quarantine.Term{Until: time.Now(), Length: time.Minute},
	}
	for _, n := range nodes {
		n.mesh.RestoreQuarantine([]diagnosis.Entry{entry})
	}
	admitted := 0
	for i := range 30 {
		if nodes[i%3].mesh.Quarantine().Admit(t.Context(), time.Now(), subject(i, crashingPart)) == 0 {
			admitted++
		}
	}
	require.Equal(t, 1, admitted)
}

// Guards against a trial at each router that is cut off from the others.
func TestRouterThatIsCutOffTriesNothing(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	n.mesh.SetKnownRouters([]fleet.RouterID{"two", "three"})
	n.mesh.RestoreQuarantine([]diagnosis.Entry{{
		Cause: diagnosis.NewCause("s", prompt.Parts{crashingPart}, false), Term: quarantine.Term{Until: time.Now(), Length: time.Minute},
	}})
	for i := range 10 {
		require.Positive(t, n.mesh.Quarantine().Admit(t.Context(), time.Now(), subject(i, crashingPart)))
	}
}

// Guards against a flood of reports when a data centre is lost.
func TestCrashesOfADataCentreAreNotAllReported(t *testing.T) {
	t.Parallel()
	reports := make(chan int, 1000)
	one := newNode(t, "one")
	two := newNodeThat(t, "two", func(n *node) {
		n.mesh.OnBatch(func(batch *schema.Batch) { reports <- len(batch.GetUpstreamCrashes()) })
	})
	one.connect(t, map[fleet.RouterID]string{"two": two.address})
	for i := range 200 {
		one.mesh.Quarantine().RecordBroken(forward.BrokenRequest{Subject: subject(1+i, soundPart), Upstream: testUpstream(i), SentAt: time.Now()})
	}
	time.Sleep(500 * time.Millisecond)
	total := 0
	for len(reports) > 0 {
		total += <-reports
	}
	require.Positive(t, total)
	require.LessOrEqual(t, total, 32)
}

// Guards against an upstream that can be reached being taken for one that has ended, and one that drains and has ended being
// taken for one that serves.
func TestHasEnded(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	require.True(t, n.mesh.Quarantine().HasEnded(t.Context(), testUpstream(1), false))
	n.reachable = map[string]bool{testUpstream(2).Address: true}
	require.False(t, n.mesh.Quarantine().HasEnded(t.Context(), testUpstream(2), false))
	leaving := testUpstream(3)
	leaving.Draining = true
	n.state.ApplyUpstreams([]registry.Change{{Upstream: leaving, Revision: 1}}, "test")
	require.True(t, n.mesh.Quarantine().HasEnded(t.Context(), testUpstream(3), false))
	n.reachable[testUpstream(3).Address] = true
	require.False(t, n.mesh.Quarantine().HasEnded(t.Context(), testUpstream(3), false))
	expired := testUpstream(5)
	n.state.ApplyUpstreams([]registry.Change{{Upstream: expired, Revision: 2}}, "test")
	n.state.ApplyUpstreams([]registry.Change{{Upstream: expired, Revision: 3, Removed: true}}, "test")
	require.True(t, n.mesh.Quarantine().HasEnded(t.Context(), expired, false), "its entry expired")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NotPanics(t, func() { n.mesh.Quarantine().HasEnded(ctx, testUpstream(4), false) })
}

// Guards against messages between routers that lose or change what a crash report or a verdict says.
func TestPartMessagesRoundTrip(t *testing.T) {
	t.Parallel()
	now := time.Now()
	crash := diagnosis.Crash{
		Service: "s", Upstream: turn.InstanceOf(testUpstream(3)), At: now.Add(-time.Second), Reporter: "r", AnsweredCount: 1234, AnsweredAt: []time.Time{now.Add(-2 * time.Second), now.Add(-time.Second)},
		Runs:  []diagnosis.Run{{Request: 5, Parts: prompt.Parts{1, 2}, SentAt: now.Add(-3 * time.Second), Stage: diagnosis.Answering}},
		Sound: []diagnosis.Sound{{Part: 1, AnsweredAt: now.Add(-time.Second)}, {Part: 2, AnsweredAt: now.Add(-time.Second), CompletedAt: now.Add(-time.Minute)}},
	}
	require.Equal(t, fmt.Sprint(crash), fmt.Sprint(deployment.RoundTripCrash(now, crash)))
	for _, v := range []diagnosis.Verdict{
		{Cause: diagnosis.NewCause("s", prompt.Parts{2, 1}, true), Status: quarantine.Refused, Term: quarantine.Term{Until: now.Add(-time.Second), Length: time.Minute}},
		{Cause: diagnosis.NewCause("s", prompt.Parts{2}, false), Reason: diagnosis.ReasonAnswered, Term: quarantine.Term{Until: now}},
	} {
		require.Equal(t, v, deployment.RoundTripVerdict(now, v))
	}
}

// Guards against a router that asks late taking the process that has a crashed upstream's address by then for that
// upstream.
func TestLateCheckAsksWhichProcessHasTheAddress(t *testing.T) {
	t.Parallel()
	n := newNode(t, "one")
	n.reachable = map[string]bool{testUpstream(1).Address: true}
	n.mesh.SetProcess(&upstream.OtherProcessError{Expected: 1, Found: 2})
	require.False(t, n.mesh.Quarantine().HasEnded(t.Context(), testUpstream(1), false))
	require.True(t, n.mesh.Quarantine().HasEnded(t.Context(), testUpstream(1), true))
	n.mesh.SetProcess(nil)
	require.False(t, n.mesh.Quarantine().HasEnded(t.Context(), testUpstream(1), true))
}
