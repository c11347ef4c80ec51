package relay

import (
	"cmp"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/socket"
)

const (
	// defaultConnectTime bounds the time until the helper's verdict. Routers of a data centre are less
	// than a millisecond apart, and the strictest target of callers is some hundred milliseconds.
	defaultConnectTime = 50 * time.Millisecond
	// maxUnacknowledged bounds how long sent bytes may stay unacknowledged, as for upstreams: TCP
	// resends a lost packet after 200 ms and doubles the delay each time, so three losses in a row
	// are tolerated.
	maxUnacknowledged = 1800 * time.Millisecond
	// keepAliveDisabled turns TCP keep-alive off, which saves system calls. A relay ends at its
	// request's deadline.
	keepAliveDisabled = -1
)

// Dialer opens connections to helpers. Its zero value is ready to use.
type Dialer struct {
	// Timeout bounds the time until the helper's verdict; zero means 50 ms.
	Timeout time.Duration
}

// Dial opens a connection to a helper that accepts a request. If it returns an error, nothing of the
// request was sent. The error is *RejectedError if the helper rejects the relay.
func (d Dialer) Dial(ctx context.Context, helper handover.Helper, p Preamble) (*net.TCPConn, error) {
	deadline := time.Now().Add(cmp.Or(d.Timeout, defaultConnectTime))
	dialer := net.Dialer{
		Deadline: deadline, KeepAlive: keepAliveDisabled,
		Control: func(_, _ string, raw syscall.RawConn) error { return socket.SetUserTimeout(raw, maxUnacknowledged) },
	}
	conn, err := dialer.DialContext(ctx, "tcp", helper.Address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, eris.Errorf("connection to %s is not TCP", helper.Address)
	}
	if err := introduce(tcp, deadline, p); err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return tcp, nil
}

// introduce sends the preamble and waits for the verdict.
func introduce(conn *net.TCPConn, deadline time.Time, p Preamble) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	if err := writePreamble(conn, p); err != nil {
		return err
	}
	var verdict [1]byte
	if _, err := conn.Read(verdict[:]); err != nil {
		return err
	}
	if Verdict(verdict[0]) != Accepted {
		return &RejectedError{Verdict: Verdict(verdict[0])}
	}
	return conn.SetDeadline(time.Time{})
}
