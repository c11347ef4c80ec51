package scenario

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// platformProxy forwards one router's connections to the platform, so that a
// script can cut off a single router.
type platformProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// newPlatformProxy starts a proxy that connects to target.
func newPlatformProxy(target string) (*platformProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return nil, err
	}
	p := &platformProxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *platformProxy) address() string { return p.listener.Addr().String() }

func (p *platformProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward copies bytes in both directions until either side closes or the proxy
// is cut.
func (p *platformProxy) forward(client net.Conn) {
	defer client.Close()
	if !p.add(client) {
		return
	}
	defer p.remove(client)
	server, err := net.Dial("tcp", p.target) //nolint:noctx // an address of this machine
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		defer server.Close()
		_, _ = io.Copy(server, client)
	}()
	_, _ = io.Copy(client, server)
}

// add registers a connection, and returns false if the proxy is cut.
func (p *platformProxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		p.conns[conn] = true
	}
	return !p.cut
}

func (p *platformProxy) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// setCut breaks all connections and refuses new ones, or allows them again.
func (p *platformProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *platformProxy) close() {
	p.setCut(true)
	_ = p.listener.Close()
}

// sever cuts routers off from the platform, which others still reach:
//
//	sever ROUTER...
func sever(s *script, a arguments) error { return s.setProxiesCut(a, true) }

// rejoin restores the connection of severed routers to the platform:
//
//	rejoin ROUTER...
func rejoin(s *script, a arguments) error { return s.setProxiesCut(a, false) }

func (s *script) setProxiesCut(a arguments, cut bool) error {
	return s.forEachProcess(a, func(p *process) error {
		if p.proxy == nil {
			return errors.New("not a router")
		}
		p.proxy.setCut(cut)
		return nil
	})
}

// startProxy starts a router's own proxy to the platform.
func (s *script) startProxy(p *process, name string) error {
	platform, err := s.findProcess(name)
	if err != nil {
		return err
	}
	p.proxy, err = newPlatformProxy(platform.address)
	if err != nil {
		return fmt.Errorf("starting a proxy from %s to %s: %w", p.name, name, err)
	}
	return nil
}
