package peer_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy is a wire that can be cut: bytes stop, connections stay.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	open    chan struct{}
	conns   []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{address: listener.Addr().String(), target: target, open: make(chan struct{})}
	close(p.open)
	t.Cleanup(func() {
		_ = listener.Close()
		p.mend()
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
			go p.carry(c)
		}
	}()
	return p
}

func (p *proxy) carry(c net.Conn) {
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, other)
	p.mu.Unlock()
	go p.copy(c, other)
	p.copy(other, c)
}

func (p *proxy) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		open := p.open
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
	p.open = make(chan struct{})
}

func (p *proxy) mend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.open:
	default:
		close(p.open)
	}
}
