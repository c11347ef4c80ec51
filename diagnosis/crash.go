package diagnosis

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/turn"
)

// Crash is the end of an upstream, as seen by one router.
type Crash struct {
	Service  fleet.ServiceID
	Upstream turn.Instance
	At       time.Time
	// Runs are the router's requests that the upstream ran.
	Runs []Run
	// Sound is what the router knows of their parts.
	Sound []Sound
	// Reporter is the router. AnsweredAt has when its latest whole answers of the service ended, and AnsweredCount is
	// how many it has recorded since it started.
	Reporter      fleet.RouterID
	AnsweredAt    []time.Time
	AnsweredCount uint64
}

// Run is a request that an upstream ran when it ended.
type Run struct {
	Request quarantine.Fingerprint
	Parts   prompt.Parts
	SentAt  time.Time
	Stage   Stage
}

// Stage is how far the answer to a request had come when its upstream ended.
type Stage int

// The stages of answers.
const (
	// Waiting means that nothing had arrived, so that the answer may just have begun or not.
	Waiting Stage = iota
	// Beginning means that the answer had just begun to arrive.
	Beginning
	// Answering means that it had begun longer ago.
	Answering
)

// StageOf returns the stage of an answer whose header and first event arrived some time before the crash;
// a negative time means that they hadn't.
func StageOf(header, firstEvent time.Duration) Stage {
	switch {
	case header < 0:
		return Waiting
	case header <= youngAnswer:
		return Beginning
	case firstEvent < 0:
		return Waiting // the upstream sends headers early
	case firstEvent <= youngAnswer:
		return Beginning
	default:
		return Answering
	}
}

// Sound tells when answers to requests with a part were last seen to come far. A zero time means
// never.
type Sound struct {
	Part prompt.Part
	// AnsweredAt is when events had been arriving for soundAfter, and CompletedAt when an answer was
	// whole.
	AnsweredAt, CompletedAt time.Time
}

// SoundAfter is how long events of an answer have to arrive until its parts don't crash upstreams when
// they begin to answer.
const SoundAfter = 500 * time.Millisecond

// youngAnswer is how long events may have been arriving at a crash for the request to have crashed the
// upstream when it began to answer.
const youngAnswer = SoundAfter / 2

// later returns the later one of each time.
func (s Sound) later(other Sound) Sound {
	if other.AnsweredAt.After(s.AnsweredAt) {
		s.AnsweredAt = other.AnsweredAt
	}
	if other.CompletedAt.After(s.CompletedAt) {
		s.CompletedAt = other.CompletedAt
	}
	return s
}

// since returns from when on crashes tell against the part.
func (s Sound) since(late bool) time.Time {
	if late || s.CompletedAt.After(s.AnsweredAt) {
		return s.CompletedAt
	}
	return s.AnsweredAt
}
