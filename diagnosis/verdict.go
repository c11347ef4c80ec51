package diagnosis

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/quarantine"
)

// Verdict says that a cause is refused, or no longer.
type Verdict struct {
	Cause Cause
	// Status is Suspected, Refused or, when an earlier verdict is withdrawn, NotSuspected.
	Status quarantine.Status
	// Term is the term of a refused cause. It may have ended: then the cause is on probation.
	Term quarantine.Term
	// Reason tells why an earlier verdict is withdrawn.
	Reason Reason
}

// Reason is why a verdict is withdrawn.
type Reason string

// The reasons.
const (
	// ReasonAnswered means that a request with the parts was answered.
	ReasonAnswered Reason = "answered"
	// ReasonNarrowed means that requests which hold fewer parts are refused instead.
	ReasonNarrowed Reason = "narrowed"
	// ReasonLifted means that an operator has lifted the refusal.
	ReasonLifted Reason = "lifted"
)

// Question asks whether answers to requests with some parts of a service come far.
type Question struct {
	Service fleet.ServiceID
	Parts   prompt.Parts
}

// Decision is what a counting router has to tell the others.
type Decision struct {
	Verdicts  []Verdict
	Questions []Question
	// Suspected are repeated requests that routers may have served, and Repeated those that are to be refused.
	Suspected, Repeated []RepeatedRequest
	// IsPending is set if a cause is found, but others may still have an answer to a question. Then
	// the router decides again after AnswerTime.
	IsPending bool
}

// AnswerTime is the time in which routers tell whether parts are sound: each answer that goes on is
// recorded within it.
const AnswerTime = 300 * time.Millisecond

// Entry is the persisted form of a refused cause, which survives a restart of all routers.
type Entry struct {
	Cause Cause
	Term  quarantine.Term
	// IsLifted is set by an operator to end the refusal.
	IsLifted bool
}
