package upstream

import "sync/atomic"

// Probe reports whether unread data has arrived from an upstream. A router short of processor time
// uses it to distinguish its own delay from the upstream's. The zero value is attached to no
// connection. It is safe for concurrent use.
type Probe struct{ conn atomic.Pointer[conn] }

// HasUnread reports whether data, the end or a reset of the connection is waiting to be read.
func (p *Probe) HasUnread() bool {
	connection := p.conn.Load()
	return connection != nil && connection.hasUnread()
}

func (p *Probe) watch(connection *conn) {
	if p != nil {
		p.conn.Store(connection)
	}
}
