package attempt

import "net"

// Tracked gives tests a connection that records what it carries.
func Tracked(inner net.Conn) (c net.Conn, begin func() (seal func() (written int64, headerWhole bool))) {
	tracked := &conn{Conn: inner}
	return tracked, func() func() (int64, bool) {
		r := tracked.begin()
		return func() (int64, bool) {
			p := r.seal()
			return p.written, p.headerWhole
		}
	}
}
