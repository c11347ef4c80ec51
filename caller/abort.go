package caller

import (
	"net"
	"net/http"
)

// Abort breaks off the answer to a request, so that what was written of it can't pass for a whole one. It panics with
// http.ErrAbortHandler.
func Abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetOnClose(ConnOf(r.Context()))
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the end of a connection an error. The answer to a caller of HTTP/1.0 may have neither a length nor
// chunks, and would end as a whole one does.
func resetOnClose(conn net.Conn) {
	if c, ok := conn.(*Conn); ok {
		conn = c.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only for a connection that has ended
	}
}
