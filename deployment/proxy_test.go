package deployment_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// pausableProxy is a TCP proxy on loopback that can stop forwarding without closing connections.
type pausableProxy struct {
	address string
	target  string

	mu sync.Mutex
	// forwarding is a closed channel while bytes are forwarded, an open one while paused.
	forwarding chan struct{}
	conns      []net.Conn
}

func newPausableProxy(t *testing.T, target string) *pausableProxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &pausableProxy{address: listener.Addr().String(), target: target, forwarding: make(chan struct{})}
	close(p.forwarding)
	go p.accept(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		p.closeAll()
	})
	return p
}

func (p *pausableProxy) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, c, upstream)
		p.mu.Unlock()
		go p.forward(c, upstream)
		go p.forward(upstream, c)
	}
}

func (p *pausableProxy) forward(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		forwarding := p.forwarding
		p.mu.Unlock()
		<-forwarding
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// pause stops forwarding in both directions.
func (p *pausableProxy) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarding = make(chan struct{})
}

// closeAll closes all connections and ends a pause, so that the forwarding goroutines return.
func (p *pausableProxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	select {
	case <-p.forwarding:
	default:
		close(p.forwarding)
	}
}
