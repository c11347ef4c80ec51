package forward

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/fleet"
)

// relayBytes is the memory in bytes for the buffers of a relay.
const relayBytes = 64 << 10

// Handover hands over requests for which this router has no processor time to other routers. It is
// safe for concurrent use.
type Handover interface {
	// Connect returns a connection to a router that accepts a request. If it returns an error, nothing
	// of the request was sent.
	Connect(request HandedRequest) (Relay, error)
}

// HandedRequest is a request that may be handed over. Its body hasn't been read.
type HandedRequest struct {
	*http.Request
	ID      fleet.RequestID
	Account fleet.AccountID
	// Arrived is when its head was read, and Deadline when its caller gives up.
	Arrived, Deadline time.Time
}

// Relay hands over one request. Exactly one of its methods is called, once.
type Relay interface {
	// Run sends the request, copies the answer to the caller and closes the caller's connection. What
	// the server has read beyond the request's head is in buffered.
	Run(caller net.Conn, buffered *bufio.Reader)
	// Cancel ends the relay before anything of the request was sent.
	Cancel()
}

// relayedConn is the connection of a request that another router has handed over.
type relayedConn interface {
	// Arrived returns when that router read the request's head.
	Arrived() time.Time
}

// relayedAt returns when the router that handed a request over read its head, and whether it was
// handed over.
func relayedAt(r *http.Request) (time.Time, bool) {
	conn := caller.ConnOf(r.Context())
	if counted, ok := conn.(*caller.Conn); ok {
		conn = counted.NetConn()
	}
	relayed, ok := conn.(relayedConn)
	if !ok {
		return time.Time{}, false
	}
	return relayed.Arrived(), true
}

// newJob returns the job of a request. One that was handed over arrived when the first router read
// it, so that its caller's time runs from there.
func (h *Handler) newJob(w http.ResponseWriter, r *http.Request) *job {
	j := &job{handler: h, writer: w, request: r, caller: caller.FromContext(r.Context()), arrived: time.Now()}
	if at, ok := relayedAt(r); ok {
		j.arrived, j.isRelayed = at, true
	}
	return j
}

// handOver lets another router serve the request, and reports whether that one got it. It returns
// when the relay has ended. A request is handed over once at most: two routers short of processor
// time could otherwise pass it back and forth.
func (j *job) handOver() bool {
	h := j.handler
	if h.Handover == nil || j.isRelayed || j.isCallerGone() || j.caller.Lease().Take(time.Now(), relayBytes) != nil {
		return false
	}
	relay, err := h.Handover.Connect(HandedRequest{
		Request: j.request, ID: j.info.ID, Account: j.account, Arrived: j.arrived, Deadline: j.deadline,
	})
	if err != nil {
		return false // it is counted there, and the caller gets the refusal
	}
	caller, buffered, err := http.NewResponseController(j.writer).Hijack()
	if err != nil {
		relay.Cancel()
		return false
	}
	j.isHandedOver = true
	relay.Run(caller, buffered.Reader)
	return true
}
