package attempt

import (
	"net"

	"nutmeglock.example/nutmeglock/upload"
)

// Tracked returns a conn around inner, and functions that begin and seal its records.
func Tracked(inner net.Conn) (c net.Conn, begin func() (seal func() (written int64, headerSent bool))) {
	tracked := &conn{Conn: &upload.Conn{Conn: inner}}
	return tracked, func() func() (int64, bool) {
		r := tracked.begin(0)
		return func() (int64, bool) {
			p := r.seal()
			return p.Written, p.HeaderSent
		}
	}
}
