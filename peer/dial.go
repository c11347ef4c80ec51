package peer

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// leastBackoff and, unless the options say otherwise, mostBackoff bound the time between two attempts at one
	// address. At the target size, 42 routers of a data centre that is gone
	// cost 8 attempts a second.
	leastBackoff = 200 * time.Millisecond
	mostBackoff  = 5 * time.Second
	// dialTick is how often it is looked for addresses to dial.
	dialTick = 100 * time.Millisecond
	// yield is how long the router with the greater id waits for the other to
	// dial, so that both seldom do at once.
	yield = 500 * time.Millisecond
)

// dialer is the state of one address.
type dialer struct {
	router  fleet.RouterID // empty for a seed until it has answered
	busy    bool
	next    time.Time
	backoff time.Duration
}

// Target replaces the routers to connect to.
func (p *Peers) Target(addresses map[fleet.RouterID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !maps.Equal(p.targets, addresses) {
		p.targets = maps.Clone(addresses)
	}
}

// dial connects to targets and seeds until ctx ends.
func (p *Peers) dial(ctx context.Context) {
	ticks := make(chan time.Time, 1)
	subscription := p.options.Timer.Every(dialTick, func(now time.Time) {
		select {
		case ticks <- now:
		default:
		}
	})
	defer subscription.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks:
			p.dialDue(ctx, now)
		}
	}
}

func (p *Peers) dialDue(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[string]fleet.RouterID, len(p.targets)+len(p.options.Seeds))
	for _, address := range p.options.Seeds {
		wanted[address] = ""
	}
	for id, address := range p.targets {
		wanted[address] = id
	}
	delete(wanted, p.options.Address)
	for address, id := range wanted {
		d := p.dialers[address]
		if d == nil {
			d = &dialer{next: now}
			if p.options.Self > id && id != "" {
				d.next = now.Add(yield)
			}
			p.dialers[address] = d
		}
		if id != "" {
			d.router = id
		}
		if d.busy || now.Before(d.next) || p.links[d.router] != nil || p.closed {
			continue
		}
		d.busy = true
		p.group.Go(func() { p.connect(ctx, address, d) })
	}
	for address, d := range p.dialers {
		if _, ok := wanted[address]; !ok && !d.busy {
			delete(p.dialers, address)
		}
	}
}

// connect dials one address and carries the connection until it ends.
func (p *Peers) connect(ctx context.Context, address string, d *dialer) {
	hello, err := p.open(ctx, address, d)
	p.mu.Lock()
	defer p.mu.Unlock()
	d.busy = false
	d.backoff = min(max(2*d.backoff, leastBackoff), p.options.MaxBackoff)
	if err == nil {
		d.router = fleet.RouterID(hello.GetRouter())
		d.backoff = leastBackoff
	}
	// Jitter keeps routers that lost each other together from meeting at each retry.
	pause := time.Duration((0.5 + rand.Float64()) * float64(d.backoff))
	d.next = p.options.Timer.Now().Add(pause)
}

func (p *Peers) open(ctx context.Context, address string, d *dialer) (*schema.Hello, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	raw, err := (&net.Dialer{Timeout: helloTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := newConn(raw)
	hello, err := p.opened(c, p.greet)
	if err != nil {
		return nil, err
	}
	router := fleet.RouterID(hello.GetRouter())
	p.mu.Lock()
	d.router = router
	p.mu.Unlock()
	if router == p.options.Self {
		// A seed that is this router itself counts as connected to nobody.
		_ = c.Close()
		return nil, &SelfError{Address: address}
	}
	newLink(p, c, hello, true).run(ctx)
	return hello, nil
}

// SelfError is the error of an address that leads to the router itself.
type SelfError struct{ Address string }

// Error names the address.
func (e *SelfError) Error() string { return e.Address + " is this router's own address" }

// opened exchanges hellos within helloTimeout, and closes c when that fails.
func (p *Peers) opened(c *conn, exchange func(*conn) (*schema.Hello, error)) (*schema.Hello, error) {
	err := c.SetDeadline(p.options.Timer.Now().Add(helloTimeout))
	var hello *schema.Hello
	if err == nil {
		hello, err = exchange(c)
	}
	if err == nil {
		err = c.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = c.Close()
		p.reject(c, err)
		return nil, err
	}
	return hello, nil
}

func (p *Peers) reject(c *conn, err error) {
	var wrong *WrongKeyError
	var malformed *MalformedFrameError
	switch {
	case errors.As(err, &wrong):
		p.faults.rejected.Add(1)
	case errors.As(err, &malformed):
		p.faults.malformed.Add(1)
	}
	p.options.Logger.Warn("connection was not opened", "remote", c.RemoteAddr().String(), "error", err)
}

// accept takes connections until the listener is closed.
func (p *Peers) accept(ctx context.Context) {
	if p.options.Listener == nil {
		return
	}
	for ctx.Err() == nil {
		raw, err := p.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.options.Logger.Warn("accept failed", "error", err)
			p.sleep(ctx, leastBackoff)
			continue
		}
		p.group.Go(func() { p.serve(ctx, raw) })
	}
}

func (p *Peers) sleep(ctx context.Context, pause time.Duration) {
	over := make(chan struct{})
	subscription := p.options.Timer.After(pause, func(time.Time) { close(over) })
	defer subscription.Cancel()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

func (p *Peers) serve(ctx context.Context, raw net.Conn) {
	c := newConn(raw)
	hello, err := p.opened(c, p.welcome)
	if err != nil {
		return
	}
	if fleet.RouterID(hello.GetRouter()) == p.options.Self {
		_ = c.Close()
		return
	}
	newLink(p, c, hello, false).run(ctx)
}
