package deployment

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/socket"
)

const (
	// headerMargin is how much longer than the configuration's limit a header may take, since the router may read it late.
	headerMargin = 2 * time.Second
	// headBytesMargin is the number of bytes beyond the configuration's limit on headers that a head may have: for its first
	// line, and for what of a body is read with it.
	headBytesMargin = 8 << 10
	// unreadTimeout is how long a caller may read nothing of its answer.
	unreadTimeout = 15 * time.Second
	// statusWriteTimeout bounds the time in which an answer about the router itself is read.
	statusWriteTimeout = 30 * time.Second
	// defaultStatusConnections is the default of CallerLimits.StatusConnections, and statusBytes limits the memory of as many.
	defaultStatusConnections = 64
	statusBytes              = 4 << 20
)

// CallerLimits limit what the connections of callers take of the machine.
type CallerLimits struct {
	// Bytes is the memory for requests and answers, and Connections the number of connections; zero means the
	// defaults of a budget.Pool.
	Bytes       int64
	Connections int
	// ReceiveBuffer and SendBuffer are the sizes of each connection's buffers in the kernel, in bytes; zero means those of
	// the system.
	ReceiveBuffer, SendBuffer int
	// StatusConnections is the number of connections for readiness checks, and for metrics; zero means 64.
	StatusConnections int
}

func (l CallerLimits) setBuffers(raw syscall.RawConn) error {
	if l.ReceiveBuffer <= 0 || l.SendBuffer <= 0 {
		return nil
	}
	return socket.SetBuffers(raw, l.ReceiveBuffer, l.SendBuffer)
}

// limitBacklog makes a listener keep no more connections unaccepted than half of those that may be open. What they have
// received counts, too.
func limitBacklog(listener net.Listener, pool *caller.Pool) error {
	conn, ok := listener.(syscall.Conn)
	if !ok || pool.MaxConnections <= 0 {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return socket.SetBacklog(raw, pool.MaxConnections/2)
}

// newStatusPool returns the pool of a port that answers about the router itself. It is no part of the callers' one, so
// that a crowd of callers can't keep the load balancer out.
func (l CallerLimits) newStatusPool() *caller.Pool {
	return &caller.Pool{Bytes: statusBytes, MaxConnections: cmp.Or(l.StatusConnections, defaultStatusConnections)}
}

// checkCallers applies the configuration's limits on callers, and reports what gave way.
func (r *Router) checkCallers(now time.Time) {
	timeouts := budget.Timeouts{Sending: unreadTimeout}
	if table := r.state.Table(); table != nil {
		limits := table.Limits()
		if limits.HeaderTimeout > 0 {
			timeouts.Head = limits.HeaderTimeout + headerMargin
		}
		if limits.MaxHeaderBytes > 0 {
			r.callerListener.MaxHeadBytes.Store(int64(limits.MaxHeaderBytes + headBytesMargin))
		}
	}
	r.callers.Check(now, timeouts)
}
