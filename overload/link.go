package overload

import "time"

// The link is full once answers of other routers take at least fullLinkDelay, until they
// take less than freeLinkDelay. Usually they take a few milliseconds; a strict target leaves
// a request less than fullLinkDelay to wait for its turn.
const (
	fullLinkDelay = 200 * time.Millisecond
	freeLinkDelay = 50 * time.Millisecond
)

// NewLinkDetector returns a Detector of a full link. Its samples are the delays of answers
// of other routers. These are small, and wait behind the bodies of callers' requests.
//
// A router can't keep callers from sending: refusing requests, even unread, leaves their
// bodies on the link. Only the load balancer can bring them to other routers.
func NewLinkDetector() *Detector { return &Detector{High: fullLinkDelay, Low: freeLinkDelay} }
