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
}

// newYieldingListener returns a listener that reports to acceptQueue whether connections wait.
func newYieldingListener(inner net.Listener, acceptQueue *overload.StandingQueue) (net.Listener, error) {
	l := &yieldingListener{Listener: inner, acceptQueue: acceptQueue}
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
	l.acceptQueue.Observe(time.Now(), !l.hasPendingConnection())
	conn, err := l.Listener.Accept()
	l.acceptQueue.Observe(time.Now(), false)
	return conn, err
}

func (l *yieldingListener) hasPendingConnection() bool {
	return l.raw != nil && socket.AcceptPending(l.raw)
}
