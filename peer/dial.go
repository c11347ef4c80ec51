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
	// minBackoff is the initial delay between attempts at an address.
	minBackoff = 200 * time.Millisecond
	// defaultMaxBackoff is the default of Options.MaxBackoff. At the target size,
	// an unreachable data centre with 42 routers costs 8 attempts a second.
	defaultMaxBackoff = 5 * time.Second
	// dialInterval is the interval between checks for addresses to dial.
	dialInterval = 100 * time.Millisecond
	// greaterIDDelay is how long the router with the greater id waits before it
	// first dials a target, so that two routers rarely dial each other at once.
	greaterIDDelay = 500 * time.Millisecond
	// failureLogInterval is the least time between two log lines about failed handshakes.
	failureLogInterval = time.Second
)

// dialState is the state of the attempts at one address.
type dialState struct {
	router      fleet.RouterID // empty for a seed until it has answered
	active      bool           // dialling or connected
	nextAttempt time.Time
	backoff     time.Duration
}

// SetTargets replaces the addresses of the routers to connect to.
func (p *Peers) SetTargets(addresses map[fleet.RouterID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !maps.Equal(p.targets, addresses) {
		p.targets = maps.Clone(addresses)
	}
}

// dialLoop dials targets and seeds until ctx ends.
func (p *Peers) dialLoop(ctx context.Context) {
	ticks := make(chan time.Time, 1)
	subscription := p.options.Timer.Every(dialInterval, func(now time.Time) {
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

// dialDue dials every target and seed that has no connection and whose next
// attempt is due.
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
		d := p.dialStates[address]
		if d == nil {
			d = &dialState{nextAttempt: now}
			if p.options.Self > id && id != "" {
				d.nextAttempt = now.Add(greaterIDDelay)
			}
			p.dialStates[address] = d
		}
		if id != "" {
			d.router = id
		}
		if d.active || now.Before(d.nextAttempt) || p.links[d.router] != nil || p.closed {
			continue
		}
		d.active = true
		p.group.Go(func() { p.connect(ctx, address, d) })
	}
	for address, d := range p.dialStates {
		if _, ok := wanted[address]; !ok && !d.active {
			delete(p.dialStates, address)
		}
	}
}

// connect dials one address, runs the connection until it ends and schedules
// the next attempt.
func (p *Peers) connect(ctx context.Context, address string, d *dialState) {
	hello, err := p.dialAndRun(ctx, address, d)
	p.mu.Lock()
	defer p.mu.Unlock()
	d.active = false
	d.backoff = min(max(2*d.backoff, minBackoff), p.options.MaxBackoff)
	if err == nil {
		d.router = fleet.RouterID(hello.GetRouter())
		d.backoff = minBackoff
	}
	// Without jitter, routers that lost their connections at the same time would
	// retry at the same time.
	pause := time.Duration((0.5 + rand.Float64()) * float64(d.backoff))
	d.nextAttempt = p.options.Timer.Now().Add(pause)
}

// dialAndRun dials an address, performs the handshake and runs the connection
// until it ends. It returns the other router's hello.
func (p *Peers) dialAndRun(ctx context.Context, address string, d *dialState) (*schema.Hello, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	raw, err := (&net.Dialer{Timeout: handshakeTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := newBufferedConn(raw)
	hello, err := p.handshake(c, p.handshakeAsDialler)
	if err != nil {
		return nil, err
	}
	router := fleet.RouterID(hello.GetRouter())
	p.mu.Lock()
	d.router = router
	p.mu.Unlock()
	if router == p.options.Self {
		// Seeds may include this router's own address.
		_ = c.Close()
		return nil, &OwnAddressError{Address: address}
	}
	newLink(p, c, hello, true).run(ctx)
	return hello, nil
}

// OwnAddressError reports a dialled address that belongs to this router.
type OwnAddressError struct{ Address string }

// Error returns a message with the address.
func (e *OwnAddressError) Error() string { return e.Address + " is this router's own address" }

// handshake exchanges hellos within handshakeTimeout and closes c on failure.
func (p *Peers) handshake(c *bufferedConn, exchange func(*bufferedConn) (*schema.Hello, error)) (*schema.Hello, error) {
	err := c.SetDeadline(p.options.Timer.Now().Add(handshakeTimeout))
	var hello *schema.Hello
	if err == nil {
		hello, err = exchange(c)
	}
	if err == nil {
		err = c.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = c.Close()
		p.recordHandshakeError(c, err)
		return nil, err
	}
	return hello, nil
}

// recordHandshakeError counts a failed handshake, and logs it unless others failed within the last second.
func (p *Peers) recordHandshakeError(c *bufferedConn, err error) {
	var wrongKey *WrongKeyError
	var malformed *MalformedFrameError
	switch {
	case errors.As(err, &wrongKey):
		p.counters.rejected.Add(1)
	case errors.As(err, &malformed):
		p.counters.malformed.Add(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Timer.Now()
	if now.Sub(p.failureLoggedAt) < failureLogInterval {
		p.unloggedFailures++
		return
	}
	p.options.Logger.Warn("handshake failed", "remote", c.RemoteAddr().String(), "error", err, "others-since-last", p.unloggedFailures)
	p.failureLoggedAt, p.unloggedFailures = now, 0
}

// sleep waits for pause or until ctx ends.
func (p *Peers) sleep(ctx context.Context, pause time.Duration) {
	elapsed := make(chan struct{})
	subscription := p.options.Timer.After(pause, func(time.Time) { close(elapsed) })
	defer subscription.Cancel()
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}
