package attempt

import "nutmeglock.example/nutmeglock/refusal"

// Facts holds a router's observations of a failed exchange. Written bytes are an upper
// bound: they were passed to the operating system and may not have arrived.
type Facts struct {
	// Connected is true once there was a connection.
	Connected bool
	// Written counts the bytes of the request, header included.
	Written int64
	// HeaderSent is true once the whole request header was written.
	HeaderSent bool
	// BodySent is true once the whole request was written.
	BodySent bool
	// AnswerStarted is true once any byte of the answer was received.
	AnswerStarted bool
	// AnswerHeaderRead is true once the whole answer header was read.
	AnswerHeaderRead bool
	// Refused is set if the upstream refused the request without running it.
	Refused UpstreamRefusal
}

// Outcome returns whether the upstream ran the request, as far as the facts prove it.
//
// A request whose whole header was sent may have run even if its body was not: a
// server calls its handler once it has the header, and the handler may act before it
// reads the body. An answer without a whole header proves nothing, because it could
// have been a refusal.
func (f Facts) Outcome() refusal.Outcome {
	switch {
	case f.Refused != "":
		return refusal.NotRun
	case f.AnswerHeaderRead:
		return refusal.Run
	case f.AnswerStarted, f.HeaderSent, f.BodySent:
		return refusal.Unknown
	default:
		return refusal.NotRun
	}
}
