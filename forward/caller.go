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

// callerKey is the key of a caller's connection in the contexts of its requests.
type callerKey struct{}

// WithCaller returns the context of the requests on a caller's connection. A Handler can
// then tell whether the caller has left; it is to be the ConnContext of its server.
func WithCaller(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, conn)
}

// hasLeft reports whether the caller has closed its connection.
//
// The server finds out by a goroutine of its own that reads on. On a router that is short of
// processor time that one runs after those that pass requests on: upstreams would work for
// callers that left while their requests lay unread, and the router would be late for
// those that wait.
func (j *job) hasLeft() bool {
	conn, ok := j.request.Context().Value(callerKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && socket.Ended(raw)
}

// leave ends a request whose caller has left, and gives its turn back if it has one.
func (j *job) leave(ticket home.Ticket) {
	if ticket != nil {
		ticket.End(time.Now(), turn.Unsent)
	}
	j.refuse(j.gone())
}

// gone returns the refusal of a request whose caller has left.
func (j *job) gone() *refusal.Error {
	return &refusal.Error{Reason: refusal.CallerGone, Outcome: j.outcome(), Detail: errLeft.Error()}
}
