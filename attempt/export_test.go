package attempt

import "net"

// Tracked returns a conn around inner, and functions that begin and seal its records.
func Tracked(inner net.Conn) (c net.Conn, begin func() (seal func() (written int64, headerSent bool))) {
	tracked := &conn{Conn: inner}
	return tracked, func() func() (int64, bool) {
		r := tracked.begin()
		return func() (int64, bool) {
			p := r.seal()
			return p.written, p.headerSent
		}
	}
}
