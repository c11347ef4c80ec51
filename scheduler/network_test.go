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

// linkDelay is the one-way delay between two routers.
const linkDelay = 500 * time.Microsecond

// network carries batches between the routers of a test.
type network struct {
	mu    sync.Mutex
	peers map[fleet.RouterID]*networkPeers
	links map[[2]fleet.RouterID]*link
	bytes int
	json  int
}

// frameHeader is the bytes that package peer adds to a short batch.
const frameHeader = 2

// networkPeers implements scheduler.Peers over a network.
type networkPeers struct {
	network     *network
	self        fleet.RouterID
	incarnation fleet.Incarnation
	onBatch     func(fleet.RouterID, *schema.Batch)
	onChange    func(peer.Change)
}

// link is one direction of a connection.
type link struct {
	queue  chan []byte
	closed chan struct{}
	paused bool
	unread [][]byte
}

func newNetwork() *network {
	return &network{peers: make(map[fleet.RouterID]*networkPeers), links: make(map[[2]fleet.RouterID]*link)}
}

func (p *networkPeers) OnBatch(fn func(fleet.RouterID, *schema.Batch)) { p.onBatch = fn }
func (p *networkPeers) OnChange(fn func(peer.Change))                  { p.onChange = fn }
func (p *networkPeers) SetTargets(map[fleet.RouterID]string)           {}

func (p *networkPeers) Send(to fleet.RouterID, batch *schema.Batch) {
	data, _ := proto.Marshal(batch)
	text, _ := protojson.Marshal(batch)
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.bytes += len(data) + frameHeader
	p.network.json += len(text) + frameHeader
	l := p.network.links[[2]fleet.RouterID{p.self, to}]
	switch {
	case l == nil:
	case l.paused:
		l.unread = append(l.unread, data)
	default:
		l.queue <- data
	}
}

func (n *network) newPeers(id fleet.RouterID, incarnation fleet.Incarnation) *networkPeers {
	p := &networkPeers{network: n, self: id, incarnation: incarnation}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[id] = p
	return p
}

func (n *network) connect(a, b fleet.RouterID) {
	n.connectOneWay(a, b)
	n.connectOneWay(b, a)
}

func (n *network) connectOneWay(from, to fleet.RouterID) {
	l := &link{queue: make(chan []byte, 100_000), closed: make(chan struct{})}
	n.mu.Lock()
	n.links[[2]fleet.RouterID{from, to}] = l
	sender, receiver := n.peers[from], n.peers[to]
	n.mu.Unlock()
	receiver.onChange(peer.Change{Router: from, Incarnation: sender.incarnation, Connected: true})
	go func() {
		for {
			select {
			case <-l.closed:
				return
			case data := <-l.queue:
				time.Sleep(linkDelay)
				batch := &schema.Batch{}
				_ = proto.Unmarshal(data, batch)
				receiver.onBatch(from, batch)
			}
		}
	}()
}

// cut closes the connection between two routers; either may have stopped already.
func (n *network) cut(a, b fleet.RouterID) {
	for _, d := range [][2]fleet.RouterID{{a, b}, {b, a}} {
		n.mu.Lock()
		l, receiver := n.links[d], n.peers[d[1]]
		delete(n.links, d)
		n.mu.Unlock()
		if l == nil {
			continue
		}
		close(l.closed)
		if receiver != nil {
			receiver.onChange(peer.Change{Router: d[0]})
		}
	}
}

// pause leaves the batches from one router to another unread.
func (n *network) pause(from, to fleet.RouterID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]fleet.RouterID{from, to}].paused = true
}

// disconnectOneWay closes the connection from a paused router as seen by the other
// side only.
func (n *network) disconnectOneWay(from, to fleet.RouterID) {
	n.mu.Lock()
	l, receiver := n.links[[2]fleet.RouterID{from, to}], n.peers[to]
	delete(n.links, [2]fleet.RouterID{from, to})
	n.mu.Unlock()
	close(l.closed)
	receiver.onChange(peer.Change{Router: from})
}

// resume makes a paused router read its unread batches, notice that the connection
// is closed and connect again.
func (n *network) resume(from, to fleet.RouterID) {
	n.mu.Lock()
	l, receiver := n.links[[2]fleet.RouterID{from, to}], n.peers[to]
	delete(n.links, [2]fleet.RouterID{from, to})
	unread := l.unread
	n.mu.Unlock()
	close(l.closed)
	for _, data := range unread {
		batch := &schema.Batch{}
		_ = proto.Unmarshal(data, batch)
		receiver.onBatch(from, batch)
	}
	receiver.onChange(peer.Change{Router: from})
	n.connect(from, to)
}
