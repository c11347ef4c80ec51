package deployment

import (
	"net"
	"runtime"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/socket"
)

// listener accepts a caller's connection only after all else that can run has run. On a
// router short of processor time new connections wait in the kernel's queue, and requests in
// hand, answers of homes and callers that leave are attended to first.
type listener struct {
	net.Listener
	raw   syscall.RawConn
	queue *overload.Standing
}

// newListener returns a listener that tells whether its queue is empty.
func newListener(inner net.Listener, queue *overload.Standing) (net.Listener, error) {
	l := &listener{Listener: inner, queue: queue}
	conn, ok := inner.(syscall.Conn)
	if !ok {
		return l, nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	l.raw = raw
	return l, nil
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	runtime.Gosched()
	l.queue.Observe(time.Now(), !l.isWaiting())
	conn, err := l.Listener.Accept()
	l.queue.Observe(time.Now(), false)
	return conn, err
}

func (l *listener) isWaiting() bool { return l.raw != nil && socket.Waiting(l.raw) }
