package attempt

import "nutmeglock.example/nutmeglock/refusal"

// Facts is what a router knows of an exchange that failed. Written bytes are
// an upper bound: they were handed to the operating system and may not have
// arrived.
type Facts struct {
	// Connected is true once a connection was there to write to.
	Connected bool
	// Written counts the bytes of the request, header included.
	Written int64
	// HeaderWhole is true once the request's header was written to its end.
	HeaderWhole bool
	// BodyWhole is true once the whole request was written.
	BodyWhole bool
	// AnswerByte is true once any byte came back.
	AnswerByte bool
	// AnswerHeader is true once the answer's header was read whole.
	AnswerHeader bool
	// Refused is the upstream's word that it did not run the request.
	Refused Refused
}

// Outcome returns what a caller may be told of the request.
//
// A request of which the header is whole counts as possibly run even when its
// body is not: a server calls its handler on the header alone, and the handler
// may act before it reads the body. The answer's first bytes without a whole
// header prove nothing, because the lost rest could have been a refusal.
func (f Facts) Outcome() refusal.Outcome {
	switch {
	case f.Refused != "":
		return refusal.NotRun
	case f.AnswerHeader:
		return refusal.Run
	case f.AnswerByte, f.HeaderWhole, f.BodyWhole:
		return refusal.Unknown
	default:
		return refusal.NotRun
	}
}
