package diagnosis_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	fatal   prompt.Part = 7
	account prompt.Part = 8
	other   prompt.Part = 9
)

// scene is a counting router that receives reports.
type scene struct {
	tracker  diagnosis.Tracker
	now      time.Time
	requests int
	verdicts []diagnosis.Verdict
}

func newScene() *scene { return &scene{now: time.Unix(1_800_000_000, 0)} }

// sound reports that answers with some parts have come far.
func (s *scene) sound(parts ...prompt.Part) {
	var sound []diagnosis.Sound
	for _, part := range parts {
		sound = append(sound, diagnosis.Sound{Part: part, AnsweredAt: s.now, CompletedAt: s.now})
	}
	s.verdicts = append(s.verdicts, s.tracker.CountSound(s.now, modelService, sound)...)
}

// crash reports the crash of an upstream that has just begun to answer a new request with some parts, beside one
// of others, and decides. Other parts prove sound all the while, and other requests are answered.
func (s *scene) crash(parts ...prompt.Part) {
	s.now = s.now.Add(600 * time.Millisecond)
	s.requests++
	crash := diagnosis.Crash{
		Service: modelService, At: s.now, Upstream: turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", s.requests)), StartTime: 1},
		Runs:     []diagnosis.Run{{Request: quarantine.Fingerprint(s.requests), Parts: parts, SentAt: s.now.Add(-100 * time.Millisecond), Stage: diagnosis.Beginning}},
		Reporter: "r", AnsweredAt: []time.Time{s.now, s.now, s.now, s.now},
	}
	s.tracker.Count(s.now, crash)
	s.decide()
	for i := range prompt.Part(8) {
		s.sound(1000 + i)
	}
	s.now = s.now.Add(diagnosis.AnswerTime)
	s.decide()
}

func (s *scene) decide() {
	s.verdicts = append(s.verdicts, s.tracker.Decide(s.now, modelService, upstreamCount).Verdicts...)
}

// refuses reports whether requests with some parts are refused once the time for a probe is over.
func (s *scene) refuses(parts ...prompt.Part) bool {
	return s.tracker.Check(s.now.Add(probeTime), parts).Wait > 0
}

// probeTime is the time after a verdict in which a request may be sent as its probe.
const probeTime = 4100 * time.Millisecond

// Guards against a part that crashes upstreams being sent for ever, and against the parts beside it being refused.
func TestPartIsRefusedWhateverElseARequestHolds(t *testing.T) {
	t.Parallel()
	s := newScene()
	s.crash(account, fatal)
	s.crash(fatal, other)
	require.False(t, s.refuses(fatal))
	s.crash(account, fatal, other)
	require.True(t, s.refuses(fatal))
	require.True(t, s.refuses(1, 2, fatal, 3))
	require.False(t, s.refuses(account, other))
	require.True(t, s.tracker.IsActive(s.now.Add(time.Hour)), "while it is on probation")
}

// Guards against sound requests being refused for a part that only ever came together with the fatal one.
func TestPartsThatAlwaysComeTogetherAreRefusedTogether(t *testing.T) {
	t.Parallel()
	s := newScene()
	for range 4 {
		s.crash(account, fatal)
	}
	require.True(t, s.refuses(account, fatal, other))
	require.False(t, s.refuses(account, other))
	require.False(t, s.refuses(fatal), "it may be the other one")
	s.crash(fatal, other)
	require.True(t, s.refuses(fatal), "the other one wasn't there")
	require.False(t, s.refuses(account))
}

// Guards against a narrower refusal that takes until the next crash though the other part has proved sound.
func TestPartThatProvesSoundIsAcquitted(t *testing.T) {
	t.Parallel()
	s := newScene()
	for range 4 {
		s.crash(account, fatal)
	}
	s.now = s.now.Add(time.Second)
	s.sound(account)
	require.True(t, s.refuses(fatal))
	require.False(t, s.refuses(account, other))
}

// Guards against a sound part that stays refused though a request with it was answered.
func TestAnswerAfterTheVerdictWithdrawsIt(t *testing.T) {
	t.Parallel()
	s := newScene()
	for i := range prompt.Part(4) {
		s.crash(fatal, 100+i)
	}
	require.True(t, s.refuses(fatal))
	s.now = s.now.Add(time.Second)
	s.sound(fatal)
	require.False(t, s.refuses(fatal))
	require.Equal(t, diagnosis.ReasonAnswered, s.verdicts[len(s.verdicts)-1].Reason)
}

// Guards against a part being refused as nothing but repetitions of one request hold it.
func TestRepeatedRequestIsNotBlamedOnItsParts(t *testing.T) {
	t.Parallel()
	s := newScene()
	for range 6 {
		s.requests = 0
		s.now = s.now.Add(time.Second)
		s.crash(account, fatal)
	}
	require.False(t, s.refuses(account, fatal))
}

// Guards against everything being refused while no request is answered, whatever its parts.
func TestNothingIsRefusedWhileNothingIsAnswered(t *testing.T) {
	t.Parallel()
	s := newScene()
	for i := range 8 {
		s.now = s.now.Add(time.Second)
		crash := diagnosis.Crash{
			Service: modelService, At: s.now, Upstream: turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i))},
			Runs: []diagnosis.Run{{Request: quarantine.Fingerprint(1 + i), Parts: prompt.Parts{account}, SentAt: s.now, Stage: diagnosis.Beginning}},
		}
		s.tracker.Count(s.now, crash)
		s.decide()
		s.now = s.now.Add(diagnosis.AnswerTime)
		s.decide()
	}
	require.False(t, s.refuses(account))
}

// Guards against more than one request of the fleet in a trial window once a term is over, and against terms that
// don't grow.
func TestTrialThatCrashesStartsALongerTerm(t *testing.T) {
	t.Parallel()
	s := newScene()
	for i := range prompt.Part(4) {
		s.crash(fatal, 100+i)
	}
	var trials quarantine.Trials
	s.now = s.now.Add(probeTime)
	day := s.now.Add(24 * time.Hour)
	sent := 0
	for s.now.Before(day) {
		s.now = s.now.Add(100 * time.Millisecond)
		d := s.tracker.Check(s.now, prompt.Parts{fatal})
		if d.Wait > 0 || len(d.Trials) == 0 || !trials.Grant(s.now, uint64(d.Trials[0].Cause), d.Trials[0].Window) {
			if d.Wait > time.Minute {
				s.now = s.now.Add(d.Wait - time.Second)
			}
			continue
		}
		sent++
		s.crash(fatal, other)
	}
	require.LessOrEqual(t, sent, maxLate)
	require.GreaterOrEqual(t, sent, 2)
}

// Guards against a router that connects late, or a restarted fleet, sending what the others refuse.
func TestVerdictsReachOtherRoutersAndRestarts(t *testing.T) {
	t.Parallel()
	s := newScene()
	for i := range prompt.Part(4) {
		s.crash(fatal, 100+i)
	}
	var late, restarted diagnosis.Tracker
	var entries []diagnosis.Entry
	for _, v := range s.tracker.Refused(s.now) {
		late.Apply(s.now, v)
		entries = append(entries, diagnosis.Entry{Cause: v.Cause, Term: v.Term})
	}
	require.Empty(t, restarted.Restore(s.now, entries))
	for _, tracker := range []*diagnosis.Tracker{&late, &restarted} {
		require.Positive(t, tracker.Check(s.now.Add(probeTime), prompt.Parts{other, fatal}).Wait)
		require.True(t, tracker.IsActive(s.now))
	}
	entries[0].IsLifted = true
	lifted := restarted.Restore(s.now, entries)
	require.Len(t, lifted, 1)
	require.Equal(t, diagnosis.ReasonLifted, lifted[0].Reason)
	require.Zero(t, restarted.Check(s.now, prompt.Parts{other, fatal}).Wait)
}

// Guards against memory that grows with the number of crashes, parts or services.
func TestEvidenceIsBounded(t *testing.T) {
	t.Parallel()
	s := newScene()
	for i := range 3000 {
		parts := make(prompt.Parts, 100)
		for j := range parts {
			parts[j] = prompt.Part(i*100 + j)
		}
		s.now = s.now.Add(time.Millisecond)
		service := fleet.ServiceID(fmt.Sprintf("s%d", i%200))
		s.tracker.Count(s.now, diagnosis.Crash{
			Service: service, At: s.now, Upstream: turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i))},
			Runs: []diagnosis.Run{{Request: quarantine.Fingerprint(i), Parts: parts, SentAt: s.now}},
		})
		s.tracker.RecordSound(s.now, service, parts, true)
		s.tracker.Answer(s.now, diagnosis.Question{Service: service, Parts: parts})
	}
	parts, questions := s.tracker.Sizes()
	require.LessOrEqual(t, parts, 64*2*4096)
	require.LessOrEqual(t, questions, 64*64+100)
}

// Guards against a panic, or a part that is refused for longer than a day at once, because of reports from other
// routers.
func TestTrackerSurvivesAnyReport(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newScene()
		parts := rapid.SliceOfN(rapid.Map(rapid.Uint64Range(0, 4), func(v uint64) prompt.Part { return prompt.Part(v) }), 0, 4)
		length := rapid.SampledFrom([]time.Duration{-time.Hour, 0, time.Millisecond, time.Second, time.Hour, 1 << 60})
		at := func(t *rapid.T) time.Time { return s.now.Add(-length.Draw(t, "ago")) }
		sound := func(t *rapid.T) []diagnosis.Sound {
			var out []diagnosis.Sound
			for _, part := range parts.Draw(t, "sound") {
				out = append(out, diagnosis.Sound{Part: part, AnsweredAt: at(t), CompletedAt: at(t)})
			}
			return out
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms")) * time.Millisecond)
			},
			"count": func(t *rapid.T) {
				crash := diagnosis.Crash{Service: "s", At: at(t), Upstream: turn.Instance{ID: rapid.SampledFrom([]fleet.UpstreamID{"", "a", "b", "c"}).Draw(t, "upstream")}, Sound: sound(t), Reporter: "r", AnsweredAt: []time.Time{at(t), at(t), at(t), at(t)}}
				for range rapid.IntRange(0, 3).Draw(t, "runs") {
					crash.Runs = append(crash.Runs, diagnosis.Run{
						Request: quarantine.Fingerprint(rapid.Uint64Range(0, 3).Draw(t, "request")), Parts: parts.Draw(t, "parts"), SentAt: at(t),
						Stage: diagnosis.Stage(rapid.IntRange(-1, 5).Draw(t, "stage")),
					})
				}
				s.tracker.Count(s.now, crash)
			},
			"decide": func(*rapid.T) { s.tracker.Decide(s.now, "s", upstreamCount) },
			"sound":  func(t *rapid.T) { s.tracker.CountSound(s.now, "s", sound(t)) },
			"record": func(t *rapid.T) {
				s.tracker.RecordSound(s.now, "s", parts.Draw(t, "parts"), rapid.Bool().Draw(t, "whole"))
			},
			"answer": func(t *rapid.T) {
				s.tracker.Answer(s.now, diagnosis.Question{Service: "s", Parts: parts.Draw(t, "parts")})
			},
			"apply": func(t *rapid.T) {
				s.tracker.Apply(s.now, diagnosis.Verdict{
					Cause: diagnosis.NewCause("s", parts.Draw(t, "parts"), rapid.Bool().Draw(t, "late")), Status: quarantine.Status(rapid.IntRange(-1, 5).Draw(t, "status")),
					Term: quarantine.Term{Until: at(t), Length: length.Draw(t, "length")},
				})
			},
			"": func(t *rapid.T) {
				for part := range prompt.Part(5) {
					require.LessOrEqual(t, s.tracker.Check(s.now, prompt.Parts{part}).Wait, 24*time.Hour)
				}
				require.False(t, s.refuses(), "a request without parts")
			},
		})
	})
}

// Guards against a refusal that an operator has lifted coming back with the next crash under other requests.
func TestLiftedRefusalDoesNotComeBack(t *testing.T) {
	t.Parallel()
	s := newScene()
	for i := range prompt.Part(4) {
		s.crash(fatal, 100+i)
	}
	verdict := s.tracker.Refused(s.now)[0]
	lifted := s.tracker.Restore(s.now, []diagnosis.Entry{{Cause: verdict.Cause, Term: verdict.Term, IsLifted: true}})
	require.Len(t, lifted, 1)
	s.crash(other)
	s.crash(account)
	require.False(t, s.refuses(fatal))
}

// Guards against a sound part that is refused for a whole term because several fatal ones came with it: a request without
// them shows that it isn't the cause.
func TestProbeIsUnlikeTheRequestsThatCrashedUpstreams(t *testing.T) {
	t.Parallel()
	const second prompt.Part = 70
	s := newScene()
	for i := range prompt.Part(4) {
		s.crash(account, fatal+(second-fatal)*(i%2), 200+i)
	}
	require.True(t, s.refuses(account, other), "it was at all crashes")
	require.Positive(t, s.tracker.Check(s.now, prompt.Parts{account, fatal}).Wait, "it is like them")
	d := s.tracker.Check(s.now, prompt.Parts{account, other})
	require.Zero(t, d.Wait)
	require.Len(t, d.Trials, 1)
	var trials quarantine.Trials
	require.True(t, trials.Grant(s.now, uint64(d.Trials[0].Cause), d.Trials[0].Window))
	require.False(t, trials.Grant(s.now, uint64(d.Trials[0].Cause), d.Trials[0].Window), "there is one probe")
	s.now = s.now.Add(time.Second)
	s.sound(account, other)
	require.False(t, s.refuses(account, other))
	s.decide()
	s.now = s.now.Add(diagnosis.AnswerTime)
	s.decide()
	s.crash(account, fatal, 300)
	s.crash(account, second, 301)
	require.True(t, s.refuses(account, fatal))
	require.False(t, s.refuses(account, other))
}

// Guards against a trial for each of several verdicts on one part that counting routers reached at the same time.
func TestOneTrialForAllVerdictsThatARequestMeets(t *testing.T) {
	t.Parallel()
	s := newScene()
	term := quarantine.Term{Until: s.now.Add(time.Second), Length: time.Minute}
	for _, parts := range []prompt.Parts{{fatal, account}, {fatal}, {fatal, other}} {
		s.tracker.Apply(s.now, diagnosis.Verdict{Cause: diagnosis.NewCause(modelService, parts, false), Status: quarantine.Refused, Term: term})
	}
	require.Len(t, s.tracker.Refused(s.now), 1, "one verdict covers the others")
	s.now = term.Until
	require.Len(t, s.tracker.Check(s.now, prompt.Parts{fatal, account, other}).Trials, 1)

	var overlapping diagnosis.Tracker
	for _, parts := range []prompt.Parts{{fatal, account}, {fatal, other}} {
		overlapping.Apply(s.now, diagnosis.Verdict{Cause: diagnosis.NewCause(modelService, parts, false), Status: quarantine.Refused, Term: quarantine.Term{Until: s.now, Length: time.Minute}})
	}
	require.Len(t, overlapping.Check(s.now, prompt.Parts{fatal, account, other}).Trials, 2, "it needs both")
}

// Guards against rows of the store that bring back what a wider verdict covers once that is lifted.
func TestRestoreRemovesWhatIsCovered(t *testing.T) {
	t.Parallel()
	s := newScene()
	term := quarantine.Term{Until: s.now.Add(time.Minute), Length: time.Minute}
	narrow := diagnosis.NewCause(modelService, prompt.Parts{fatal, account}, false)
	wide := diagnosis.NewCause(modelService, prompt.Parts{fatal}, false)
	removed := s.tracker.Restore(s.now, []diagnosis.Entry{{Cause: narrow, Term: term}, {Cause: wide, Term: term}})
	require.Len(t, removed, 1)
	require.Equal(t, narrow.ID(), removed[0].Cause.ID())
}

// Guards against waiting for answers of other requests while all upstreams have ended within a second.
func TestPartIsRefusedThoughAllUpstreamsEndedAtOnce(t *testing.T) {
	t.Parallel()
	s := newScene()
	s.tracker.Count(s.now, diagnosis.Crash{
		Service: modelService, At: s.now.Add(-10 * time.Minute), Upstream: turn.Instance{ID: "long-ago"},
		Reporter: "r", AnsweredAt: []time.Time{s.now, s.now, s.now, s.now},
	})
	for i := range prompt.Part(8) {
		s.sound(1000 + i)
	}
	for i := range 5 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.tracker.Count(s.now, diagnosis.Crash{
			Service: modelService, At: s.now, Upstream: turn.Instance{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i))},
			Runs: []diagnosis.Run{{Request: quarantine.Fingerprint(1 + i), Parts: prompt.Parts{fatal, prompt.Part(300 + i)}, SentAt: s.now, Stage: diagnosis.Beginning}},
		})
		s.decide()
	}
	s.now = s.now.Add(diagnosis.AnswerTime)
	s.decide()
	require.True(t, s.refuses(fatal))
}

// Guards against a refusal that comes back after an operator has lifted it, because two routers refused the cause at the
// same time and the verdict of one was still under way.
func TestVerdictFromBeforeALiftDoesNotComeBack(t *testing.T) {
	t.Parallel()
	s := newScene()
	cause := diagnosis.NewCause(modelService, prompt.Parts{fatal}, false)
	refused := func(began time.Time) diagnosis.Verdict {
		return diagnosis.Verdict{Cause: cause, Status: quarantine.Refused, Term: quarantine.Term{Until: began.Add(30 * time.Second), Length: 30 * time.Second}}
	}
	require.True(t, s.tracker.Apply(s.now, refused(s.now)))
	require.True(t, s.tracker.Apply(s.now, diagnosis.Verdict{Cause: cause, Reason: diagnosis.ReasonLifted}))
	s.now = s.now.Add(5 * time.Millisecond)
	require.False(t, s.tracker.Apply(s.now, refused(s.now)))
	require.False(t, s.refuses(fatal))
	s.now = s.now.Add(time.Second)
	require.True(t, s.tracker.Apply(s.now, refused(s.now)), "a later verdict")
	require.True(t, s.refuses(fatal))
}

// Guards against a lift that ends with the router that read it, because that router had not heard of the refusal yet.
func TestLiftOfAnUnknownRefusalIsTold(t *testing.T) {
	t.Parallel()
	s := newScene()
	lifted := diagnosis.Entry{Cause: diagnosis.NewCause(modelService, prompt.Parts{fatal}, false), IsLifted: true}
	withdrawn := s.tracker.Restore(s.now, []diagnosis.Entry{lifted})
	require.Len(t, withdrawn, 1)
	require.Equal(t, diagnosis.ReasonLifted, withdrawn[0].Reason)
}
