package deployment_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// pauser is a loopback proxy whose connections can fall silent without a reset.
type pauser struct {
	address string
	target  string

	mu sync.Mutex
	// carrying is closed while bytes are carried.
	carrying chan struct{}
	conns    []net.Conn
}

func newPauser(t *testing.T, target string) *pauser {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &pauser{address: listener.Addr().String(), target: target, carrying: make(chan struct{})}
	close(p.carrying)
	go p.accept(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		p.end()
	})
	return p
}

func (p *pauser) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		other, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, c, other)
		p.mu.Unlock()
		go p.carry(c, other)
		go p.carry(other, c)
	}
}

func (p *pauser) carry(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		carrying := p.carrying
		p.mu.Unlock()
		<-carrying
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// pause stops all bytes in both directions.
func (p *pauser) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carrying = make(chan struct{})
}

// end closes all connections and lets what was paused go on to its end.
func (p *pauser) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	select {
	case <-p.carrying:
	default:
		close(p.carrying)
	}
}
