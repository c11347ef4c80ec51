package scenario

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// line carries one router's connections to the platform, so that a script can
// cut that router off from it while the others are not.
type line struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// newLine returns a line to an address.
func newLine(target string) (*line, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return nil, err
	}
	l := &line{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

func (l *line) address() string { return l.listener.Addr().String() }

func (l *line) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

// carry copies bytes both ways until either side ends or the line is cut.
func (l *line) carry(near net.Conn) {
	defer near.Close()
	if !l.add(near) {
		return
	}
	defer l.remove(near)
	far, err := net.Dial("tcp", l.target) //nolint:noctx // an address of this machine
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		defer far.Close()
		_, _ = io.Copy(far, near)
	}()
	_, _ = io.Copy(near, far)
}

// add keeps a connection, and returns false when the line is cut.
func (l *line) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.conns[conn] = true
	}
	return !l.cut
}

func (l *line) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// set cuts the line or joins it again.
func (l *line) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *line) close() {
	l.set(true)
	_ = l.listener.Close()
}

// sever cuts routers off from the platform; the other routers still reach it:
//
//	sever ROUTER...
func sever(w *World, a arguments) error { return w.setLines(a, true) }

// rejoin gives severed routers their connection to the platform back:
//
//	rejoin ROUTER...
func rejoin(w *World, a arguments) error { return w.setLines(a, false) }

func (w *World) setLines(a arguments, cut bool) error {
	return w.each(a, func(p *process) error {
		if p.line == nil {
			return errors.New("it is no router")
		}
		p.line.set(cut)
		return nil
	})
}

// connectPlatform gives a router a line of its own to the platform.
func (w *World) connectPlatform(p *process, name string) error {
	store, err := w.find(name)
	if err != nil {
		return err
	}
	p.line, err = newLine(store.address)
	if err != nil {
		return fmt.Errorf("a line from %s to %s: %w", p.name, name, err)
	}
	return nil
}
