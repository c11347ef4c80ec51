package upstream

import (
	"sync/atomic"

	"nutmeglock.example/nutmeglock/socket"
)

// Probe tells whether something has arrived from an upstream that wasn't read yet. A caller
// that is short of processor time can so tell its own delay from the upstream's. Its zero
// value knows no connection. It is safe for concurrent use.
type Probe struct{ conn atomic.Pointer[conn] }

// Arrived reports whether bytes, the end or a reset of the connection wait to be read.
func (p *Probe) Arrived() bool {
	connection := p.conn.Load()
	return connection != nil && socket.Arrived(connection.raw)
}

func (p *Probe) watch(connection *conn) {
	if p != nil {
		p.conn.Store(connection)
	}
}
