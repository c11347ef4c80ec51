package scheduler_test

import (
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

// wire is the one-way time between two routers.
const wire = 500 * time.Microsecond

// network carries batches between the routers of a test.
type network struct {
	mu    sync.Mutex
	ports map[fleet.RouterID]*port
	links map[[2]fleet.RouterID]*link
	bytes int
	json  int
}

// frameHeader is what package peer adds to a short batch.
const frameHeader = 2

type port struct {
	net     *network
	self    fleet.RouterID
	life    fleet.Incarnation
	onBatch func(fleet.RouterID, *schema.Batch)
	change  func(peer.Change)
}

// link is one direction of a connection.
type link struct {
	queue  chan []byte
	closed chan struct{}
	paused bool
	held   [][]byte
}

func newNetwork() *network {
	return &network{ports: make(map[fleet.RouterID]*port), links: make(map[[2]fleet.RouterID]*link)}
}

func (p *port) OnBatch(fn func(fleet.RouterID, *schema.Batch)) { p.onBatch = fn }
func (p *port) OnChange(fn func(peer.Change))                  { p.change = fn }
func (p *port) Target(map[fleet.RouterID]string)               {}

func (p *port) Send(to fleet.RouterID, batch *schema.Batch) {
	data, _ := proto.Marshal(batch)
	text, _ := protojson.Marshal(batch)
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.bytes += len(data) + frameHeader
	p.net.json += len(text) + frameHeader
	l := p.net.links[[2]fleet.RouterID{p.self, to}]
	switch {
	case l == nil:
	case l.paused:
		l.held = append(l.held, data)
	default:
		l.queue <- data
	}
}

func (n *network) port(id fleet.RouterID, life fleet.Incarnation) *port {
	p := &port{net: n, self: id, life: life}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[id] = p
	return p
}

func (n *network) connect(a, b fleet.RouterID) {
	n.direction(a, b)
	n.direction(b, a)
}

func (n *network) direction(from, to fleet.RouterID) {
	l := &link{queue: make(chan []byte, 100_000), closed: make(chan struct{})}
	n.mu.Lock()
	n.links[[2]fleet.RouterID{from, to}] = l
	sender, receiver := n.ports[from], n.ports[to]
	n.mu.Unlock()
	receiver.change(peer.Change{Router: from, Incarnation: sender.life, Connected: true})
	go func() {
		for {
			select {
			case <-l.closed:
				return
			case data := <-l.queue:
				time.Sleep(wire)
				batch := &schema.Batch{}
				_ = proto.Unmarshal(data, batch)
				receiver.onBatch(from, batch)
			}
		}
	}()
}

// cut breaks the connection between two routers; either may be gone.
func (n *network) cut(a, b fleet.RouterID) {
	for _, d := range [][2]fleet.RouterID{{a, b}, {b, a}} {
		n.mu.Lock()
		l, receiver := n.links[d], n.ports[d[1]]
		delete(n.links, d)
		n.mu.Unlock()
		if l == nil {
			continue
		}
		close(l.closed)
		if receiver != nil {
			receiver.change(peer.Change{Router: d[0]})
		}
	}
}

// pause keeps what is sent from one router to another unread.
func (n *network) pause(from, to fleet.RouterID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]fleet.RouterID{from, to}].paused = true
}

// lose breaks the connection from a router that stands still, as seen by the
// other side only.
func (n *network) lose(from, to fleet.RouterID) {
	n.mu.Lock()
	l, receiver := n.links[[2]fleet.RouterID{from, to}], n.ports[to]
	delete(n.links, [2]fleet.RouterID{from, to})
	n.mu.Unlock()
	close(l.closed)
	receiver.change(peer.Change{Router: from})
}

// wake lets a router read what was sent to it before, then see that its
// connection is gone, and connect again.
func (n *network) wake(from, to fleet.RouterID) {
	n.mu.Lock()
	l, receiver := n.links[[2]fleet.RouterID{from, to}], n.ports[to]
	delete(n.links, [2]fleet.RouterID{from, to})
	held := l.held
	n.mu.Unlock()
	close(l.closed)
	for _, data := range held {
		batch := &schema.Batch{}
		_ = proto.Unmarshal(data, batch)
		receiver.onBatch(from, batch)
	}
	receiver.change(peer.Change{Router: from})
	n.connect(from, to)
}
