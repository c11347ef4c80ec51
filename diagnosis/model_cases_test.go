package diagnosis_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// modelCase is a load that differs from the standard one.
type modelCase struct {
	name   string
	change func(l *modelLoad)
}

// crashing returns a change that adds requests with crashing parts, and what else is given.
func crashing(perSecond float64, change func(l *modelLoad)) func(l *modelLoad) {
	return func(l *modelLoad) {
		l.crashingPerSecond = perSecond
		if change != nil {
			change(l)
		}
	}
}

func crashingCases() []modelCase {
	return []modelCase{
		{name: "three a second", change: crashing(3, nil)},
		{name: "no header", change: crashing(3, func(l *modelLoad) { l.noHeader = true })},
		{name: "ten a second", change: crashing(10, nil)},
		{name: "one in two seconds", change: crashing(0.5, func(l *modelLoad) { l.duration = time.Minute })},
		{name: "all other parts the same", change: crashing(3, func(l *modelLoad) { l.sameParts = true })},
		{name: "two parts", change: crashing(6, func(l *modelLoad) { l.crashingParts = 2 })},
		{name: "answers begin late", change: crashing(3, func(l *modelLoad) { l.prefill = 1500 * time.Millisecond })},
		{name: "power cuts beside them", change: crashing(3, func(l *modelLoad) { l.cutEvery, l.cutShare = 2*time.Second, 0.3 })},
		{name: "few requests", change: crashing(3, func(l *modelLoad) { l.perSecond = 10 })},
		{name: "many rare parts", change: crashing(3, func(l *modelLoad) { l.rare = 2000 })},
		{name: "no other parts", change: crashing(3, func(l *modelLoad) { l.sharedParts = 0 })},
		{name: "one shared part", change: crashing(3, func(l *modelLoad) { l.sharedParts = 1 })},
		{name: "two shared parts", change: crashing(3, func(l *modelLoad) { l.sharedParts = 2 })},
		{name: "three shared parts, few requests", change: crashing(3, func(l *modelLoad) { l.sharedParts, l.perSecond = 3, 10 })},
	}
}

func calmCases() []modelCase {
	return []modelCase{
		{name: "power cuts", change: func(l *modelLoad) { l.cutEvery, l.cutShare = time.Second, 0.33 }},
		{name: "power cuts that spread", change: func(l *modelLoad) { l.cutEvery, l.cutShare, l.cutSpread = 3*time.Second, 1, 800*time.Millisecond }},
		{name: "single crashes", change: func(l *modelLoad) { l.crashEvery = 500 * time.Millisecond }},
		{name: "all requests crash upstreams", change: func(l *modelLoad) { l.everythingCrashes = true }},
		{name: "all requests crash upstreams and share a part", change: func(l *modelLoad) { l.everythingCrashes, l.sharedParts = true, 1 }},
		{name: "power cuts, one shared part", change: func(l *modelLoad) { l.cutEvery, l.cutShare, l.sharedParts = time.Second, 0.33, 1 }},
		{name: "power cuts, two shared parts", change: func(l *modelLoad) { l.cutEvery, l.cutShare, l.sharedParts = time.Second, 0.33, 2 }},
		{name: "single crashes, one shared part", change: func(l *modelLoad) { l.crashEvery, l.sharedParts = 500*time.Millisecond, 1 }},
	}
}

func (c modelCase) load() modelLoad {
	load := standardLoad()
	c.change(&load)
	return load
}

// modelSeedsVariable names the number of seeds that each case is played with, and modelFirstVariable the
// first one.
const (
	modelSeedsVariable = "NUTMEGLOCK_MODEL_SEEDS"
	modelFirstVariable = "NUTMEGLOCK_MODEL_FIRST"
	modelSeeds         = 20
)

// seeds returns the seeds to play.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	value := func(name string, otherwise int) int {
		text := os.Getenv(name)
		if text == "" {
			return otherwise
		}
		number, err := strconv.Atoi(text)
		require.NoError(t, err, name)
		return number
	}
	out := make([]uint64, value(modelSeedsVariable, modelSeeds))
	for i := range out {
		out[i] = uint64(value(modelFirstVariable, 0) + i)
	}
	return out
}

// play plays the case with all seeds. It returns the largest number of requests with one part that arrived
// too late, and how many sound requests were refused.
func (c modelCase) play(t *testing.T) (late, refused int) {
	t.Helper()
	sound, arrivals, refusedCrashing := 0, 0, 0
	for _, seed := range seeds(t) {
		m := playModel(c.load(), seed)
		late = max(late, m.maxLate())
		refused += m.refused
		sound += m.sound
		arrivals += m.arrivals
		refusedCrashing += m.refusedCrashing
		if m.maxLate() > maxLate || m.refused > 0 {
			t.Logf("seed %d: late %v, refused %d of %d: %v", seed, m.late, m.refused, m.sound, m.verdicts)
		}
	}
	t.Logf("at most %d too late; %d arrived, %d refused; %d of %d sound ones refused", late, arrivals, refusedCrashing, refused, sound)
	require.Positive(t, sound)
	return late, refused
}

// Guards against a part that crashes upstreams and is sent again and again, and against sound requests being
// refused because they share its other parts.
func TestModelOfPartsThatCrashUpstreams(t *testing.T) {
	t.Parallel()
	for _, c := range crashingCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			late, refused := c.play(t)
			require.LessOrEqual(t, late, maxLate)
			require.LessOrEqual(t, refused, len(seeds(t))*maxRefusedBeside, "sound requests refused")
		})
	}
}

// maxRefusedBeside is how many sound requests may be refused in a play of 2,000 that has a crashing part: one in a hundred.
const maxRefusedBeside = 20

// Guards against sound requests being refused because their upstreams end for reasons of their own.
func TestModelOfUpstreamsThatEndForOtherReasons(t *testing.T) {
	t.Parallel()
	for _, c := range calmCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, refused := c.play(t)
			require.Zero(t, refused)
		})
	}
}

// Guards against the same where so many upstreams end at once that few answers come far.
func TestModelOfManyCrashesAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []modelCase{
		{name: "four parts", change: crashing(10, func(l *modelLoad) { l.crashingParts = 4; l.duration = 30 * time.Second })},
		{name: "upstreams end half a second late", change: crashing(3, func(l *modelLoad) { l.leastCrashDelay, l.crashDelay = 300*time.Millisecond, 500*time.Millisecond })},
		{name: "upstreams end at any time", change: crashing(3, func(l *modelLoad) { l.crashDelay = 2 * time.Second })},
		{name: "single crashes, few requests", change: func(l *modelLoad) { l.crashEvery, l.perSecond = 500*time.Millisecond, 10 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			late, refused := c.play(t)
			require.LessOrEqual(t, late, maxLate)
			require.LessOrEqual(t, refused, len(seeds(t))*maxRefusedBeside)
			if c.load().crashingPerSecond == 0 {
				require.Zero(t, refused)
			}
		})
	}
}
