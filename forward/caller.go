package forward

import (
	"context"
	"net"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/socket"
	"nutmeglock.example/nutmeglock/turn"
)

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// WithCaller adds a caller's connection to the context of its requests, so that a Handler can
// detect that the caller has disconnected. Use it as the server's ConnContext.
func WithCaller(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// isCallerGone reports whether the caller has closed its connection.
//
// The server notices this too, but on a background goroutine. On a router short of processor time,
// that goroutine runs after those that forward requests. Upstreams would then work for callers that
// disconnected while their requests were still unread, and the callers that wait would be served
// late.
func (j *job) isCallerGone() bool {
	conn, ok := j.request.Context().Value(callerConnKey{}).(syscall.Conn)
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
