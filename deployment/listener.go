package deployment

import (
	"net"
	"runtime"
	"syscall"
	"time"

	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/socket"
)

// yieldingListener yields to all other runnable goroutines before it accepts a caller's
// connection. When processor time is short, new connections then wait in the kernel's queue, and
// requests in flight, answers of homes and callers that disconnect are handled first.
type yieldingListener struct {
	net.Listener
	raw         syscall.RawConn
	acceptQueue *overload.StandingQueue
	// isFull reports whether connections wait because others have to be closed first, which says nothing of processor time.
	isFull func() bool
}

// newYieldingListener returns a listener that reports to acceptQueue whether connections wait for processor time.
func newYieldingListener(inner net.Listener, acceptQueue *overload.StandingQueue, isFull func() bool) (net.Listener, error) {
	l := &yieldingListener{Listener: inner, acceptQueue: acceptQueue, isFull: isFull}
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
func (l *yieldingListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	l.observe(l.hasPendingConnection())
	conn, err := l.Listener.Accept()
	l.observe(true)
	return conn, err
}

// observe records whether connections wait for processor time.
func (l *yieldingListener) observe(isPending bool) {
	l.acceptQueue.Observe(time.Now(), !isPending || l.isFull())
}

func (l *yieldingListener) hasPendingConnection() bool {
	return l.raw != nil && socket.AcceptPending(l.raw)
}
