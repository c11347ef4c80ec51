package forward

import (
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/socket"
	"nutmeglock.example/nutmeglock/turn"
)

// isCallerGone reports whether the caller has closed its connection.
//
// The server notices this too, but on a background goroutine. On a router short of processor time,
// that goroutine runs after those that forward requests. Upstreams would then work for callers that
// disconnected while their requests were still unread, and the callers that wait would be served
// late.
func (j *job) isCallerGone() bool {
	conn, ok := caller.ConnOf(j.request.Context()).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && socket.PeerClosed(raw)
}

// abandon ends a request whose caller has disconnected, and gives back its turn if it has one.
func (j *job) abandon(ticket home.Ticket) {
	if ticket != nil {
		ticket.End(time.Now(), turn.Unsent)
	}
	j.refuse(j.callerGone())
}

// callerGone returns the refusal of a request whose caller has disconnected.
func (j *job) callerGone() *refusal.Error {
	return &refusal.Error{Reason: refusal.CallerGone, Outcome: j.outcome(), Detail: errCallerGone.Error()}
}
