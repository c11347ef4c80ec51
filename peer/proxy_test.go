package peer_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections to target. While it is cut, no bytes pass but
// the connections stay open.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	flowing chan struct{} // closed while bytes pass
	conns   []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{address: listener.Addr().String(), target: target, flowing: make(chan struct{})}
	close(p.flowing)
	t.Cleanup(func() {
		_ = listener.Close()
		p.restore()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *proxy) forward(c net.Conn) {
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, other)
	p.mu.Unlock()
	go p.copyBytes(c, other)
	p.copyBytes(other, c)
}

func (p *proxy) copyBytes(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		open := p.flowing
		p.mu.Unlock()
		<-open
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flowing = make(chan struct{})
}

func (p *proxy) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.flowing:
	default:
		close(p.flowing)
	}
}
