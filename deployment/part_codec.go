package deployment

import (
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/diagnosis"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

func encodeUpstreamCrash(now time.Time, c diagnosis.Crash) *schema.UpstreamCrash {
	out := &schema.UpstreamCrash{
		Service: string(c.Service), Upstream: turn.EncodeInstance(c.Upstream), EndedMs: schema.Millis(now.Sub(c.At)),
		Sound: encodeSound(now, c.Sound), AnsweredCount: c.AnsweredCount,
	}
	for _, at := range c.AnsweredAt {
		out.AnsweredMs = append(out.AnsweredMs, schema.Millis(now.Sub(at)))
	}
	for _, run := range c.Runs {
		out.Runs = append(out.Runs, &schema.CrashedRun{
			Request: uint64(run.Request), Parts: encodeParts(run.Parts), BeganMs: schema.Millis(now.Sub(run.SentAt)), Stage: uint32(run.Stage),
		})
	}
	return out
}

func decodeUpstreamCrash(now time.Time, from fleet.RouterID, in *schema.UpstreamCrash) diagnosis.Crash {
	out := diagnosis.Crash{
		Service: fleet.ServiceID(in.GetService()), Upstream: turn.DecodeInstance(in.GetUpstream()), At: now.Add(-schema.Duration(in.GetEndedMs())),
		Sound: decodeSoundParts(now, in.GetSound()), Reporter: from, AnsweredCount: in.GetAnsweredCount(),
	}
	for _, ms := range in.GetAnsweredMs() {
		out.AnsweredAt = append(out.AnsweredAt, now.Add(-schema.Duration(ms)))
	}
	for _, run := range in.GetRuns() {
		out.Runs = append(out.Runs, diagnosis.Run{
			Request: quarantine.Fingerprint(run.GetRequest()), Parts: decodeParts(run.GetParts()),
			SentAt: now.Add(-schema.Duration(run.GetBeganMs())), Stage: diagnosis.Stage(run.GetStage()),
		})
	}
	return out
}

func encodeSoundParts(now time.Time, service fleet.ServiceID, sound []diagnosis.Sound) *schema.SoundParts {
	return &schema.SoundParts{Service: string(service), Parts: encodeSound(now, sound)}
}

func encodeSound(now time.Time, sound []diagnosis.Sound) []*schema.SoundPart {
	out := make([]*schema.SoundPart, len(sound))
	for i, s := range sound {
		out[i] = &schema.SoundPart{Part: uint64(s.Part), AnsweredMs: encodeAgo(now, s.AnsweredAt), WholeMs: encodeAgo(now, s.CompletedAt)}
	}
	return out
}

func decodeSoundParts(now time.Time, in []*schema.SoundPart) []diagnosis.Sound {
	out := make([]diagnosis.Sound, len(in))
	for i, s := range in {
		out[i] = diagnosis.Sound{Part: prompt.Part(s.GetPart()), AnsweredAt: decodeAgo(now, s.AnsweredMs), CompletedAt: decodeAgo(now, s.WholeMs)}
	}
	return out
}

func encodeQuestion(q diagnosis.Question) *schema.PartQuestion {
	return &schema.PartQuestion{Service: string(q.Service), Parts: encodeParts(q.Parts)}
}

func decodeQuestion(in *schema.PartQuestion) diagnosis.Question {
	return diagnosis.Question{Service: fleet.ServiceID(in.GetService()), Parts: decodeParts(in.GetParts())}
}

func encodeCauseVerdict(now time.Time, v diagnosis.Verdict) *schema.CauseVerdict {
	return &schema.CauseVerdict{
		Service: string(v.Cause.Service), Parts: encodeParts(v.Cause.Parts), Late: v.Cause.Late, Standing: uint32(v.Status),
		TermMs: schema.Millis(v.Term.Length), LeftMs: v.Term.Until.Sub(now).Milliseconds(), Reason: string(v.Reason),
		Beside: encodeParts(v.Cause.Beside),
	}
}

func decodeCauseVerdict(now time.Time, in *schema.CauseVerdict) diagnosis.Verdict {
	const longest = int64(24 * time.Hour / time.Millisecond)
	left := time.Duration(min(max(in.GetLeftMs(), -longest), longest)) * time.Millisecond
	cause := diagnosis.NewCause(fleet.ServiceID(in.GetService()), decodeParts(in.GetParts()), in.GetLate())
	cause.Beside = decodeParts(in.GetBeside())
	return diagnosis.Verdict{
		Cause:  cause,
		Status: quarantine.Status(in.GetStanding()),
		Term:   quarantine.Term{Until: now.Add(left), Length: schema.Duration(in.GetTermMs())},
		Reason: diagnosis.Reason(in.GetReason()),
	}
}

func encodeParts(parts prompt.Parts) []uint64 {
	out := make([]uint64, len(parts))
	for i, part := range parts {
		out[i] = uint64(part)
	}
	return out
}

func decodeParts(in []uint64) prompt.Parts {
	if len(in) == 0 {
		return nil
	}
	out := make(prompt.Parts, len(in))
	for i, part := range in {
		out[i] = prompt.Part(part)
	}
	return out
}

// encodeAgo returns how long ago a time was in milliseconds, nil for the zero time.
func encodeAgo(now, at time.Time) *uint32 {
	if at.IsZero() {
		return nil
	}
	return proto.Uint32(schema.Millis(now.Sub(at)))
}

func decodeAgo(now time.Time, ms *uint32) time.Time {
	if ms == nil {
		return time.Time{}
	}
	return now.Add(-schema.Duration(*ms))
}
