package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// defaultHeartbeat is the default of Options.Heartbeat, used in a small fleet.
	defaultHeartbeat = time.Second
	// heartbeatPerLink lengthens the interval in a large fleet, so that a router
	// sends at most 100 heartbeats a second. At 4 bytes each, these take a seventh
	// of the bandwidth allowed for control messages.
	heartbeatPerLink = 10 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a frame
	// after which the connection is closed.
	maxMissedHeartbeats = 3
	// silentHeartbeats is the number of half heartbeat intervals without a frame after which a router counts as
	// silent.
	silentHeartbeats = 3
	// maxAnnouncedInterval bounds the heartbeat interval that a router can announce.
	maxAnnouncedInterval = time.Minute
	// maxQueuedFrames and maxQueuedBytes bound the send queue to one router. A
	// router that keeps reading takes each frame within milliseconds.
	maxQueuedFrames = 1024
	maxQueuedBytes  = 40 << 20
	// maxPendingCalls bounds the received JSON-RPC objects of one router that are
	// not decoded yet.
	maxPendingCalls = 64
)

// link is an authenticated connection to one router.
type link struct {
	peers    *Peers
	conn     *bufferedConn
	hello    *schema.Hello
	outgoing bool
	rpc      *jsonrpc2.Conn
	// silentAt is when the router counts as silent unless a frame arrives before, in nanoseconds since 1970.
	silentAt atomic.Int64
	// watched is set if heartbeats to the router don't become rarer in a large fleet.
	watched atomic.Bool

	mu           sync.Mutex
	queue        []frame
	queuedBytes  int
	wake         chan struct{}
	pendingCalls chan json.RawMessage
	closeOnce    sync.Once
	closed       chan struct{}
}

func newLink(p *Peers, c *bufferedConn, hello *schema.Hello, outgoing bool) *link {
	return &link{
		peers: p, conn: c, hello: hello, outgoing: outgoing,
		wake: make(chan struct{}, 1), pendingCalls: make(chan json.RawMessage, maxPendingCalls), closed: make(chan struct{}),
	}
}

func (l *link) incarnation() fleet.Incarnation { return fleet.Incarnation(l.hello.GetIncarnation()) }

// dialledByLesserID reports whether the router with the lesser id dialled the
// connection.
func (l *link) dialledByLesserID() bool {
	return l.outgoing == (string(l.peers.options.Self) < l.hello.GetRouter())
}

// run sends and receives frames until the connection ends.
func (l *link) run(ctx context.Context) {
	l.rpc = jsonrpc2.NewConn(ctx, &callStream{link: l}, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(l.handleCall)))
	if !l.peers.register(l) {
		l.close()
		return
	}
	var group sync.WaitGroup
	group.Go(l.writeLoop)
	err := l.readLoop()
	l.close()
	group.Wait()
	l.peers.unregister(l)
	l.recordError(err)
}

// recordError logs why the connection ended and counts causes on the other side.
func (l *link) recordError(err error) {
	var malformed *MalformedFrameError
	switch {
	case errors.As(err, &malformed):
		l.peers.counters.malformed.Add(1)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.peers.counters.silent.Add(1)
	}
	l.peers.options.Logger.Debug("connection to router ended", "router", l.hello.GetRouter(), "error", err)
}

// close ends the connection, and with it the calls on it, whose ReadObject fails.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// enqueue adds a frame to the send queue without blocking. If the queue is full,
// it closes the connection.
func (l *link) enqueue(f frame) {
	l.mu.Lock()
	full := len(l.queue) >= maxQueuedFrames || l.queuedBytes+len(f.payload) > maxQueuedBytes
	if !full {
		l.queue = append(l.queue, f)
		l.queuedBytes += len(f.payload)
	}
	l.mu.Unlock()
	if full {
		// The router is frozen or the network too slow, so the queued messages
		// are getting stale. After a reconnection both sides start again from
		// their current state instead of ever more outdated messages.
		l.peers.counters.queueFull.Add(1)
		go l.close()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeQueue empties the send queue and returns its frames.
func (l *link) takeQueue() []frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue, l.queuedBytes = nil, 0
	return queue
}

// heartbeatInterval returns the interval of the heartbeats on this connection.
func (l *link) heartbeatInterval() time.Duration {
	if l.watched.Load() {
		return l.peers.options.Heartbeat
	}
	return l.peers.heartbeatInterval()
}

// writeLoop sends queued frames, and a heartbeat after an interval without any.
func (l *link) writeLoop() {
	defer l.close()
	for {
		interval := l.heartbeatInterval()
		frames := l.takeQueue()
		if len(frames) == 0 {
			frames = []frame{{heartbeatFrame, binary.AppendUvarint(nil, uint64(interval.Milliseconds()))}}
		}
		if err := l.writeFrames(frames); err != nil {
			return
		}
		idle := make(chan struct{})
		timeout := l.peers.options.Timer.After(interval, func(time.Time) { close(idle) })
		select {
		case <-l.wake:
		case <-idle:
		case <-l.closed:
			timeout.Cancel()
			return
		}
		timeout.Cancel()
	}
}

func (l *link) writeFrames(frames []frame) error {
	// Without a deadline, a router that reads nothing would block this goroutine
	// and retain its frames forever.
	if err := l.conn.SetWriteDeadline(l.peers.options.Timer.Now().Add(maxMissedHeartbeats * l.peers.heartbeatInterval())); err != nil {
		return eris.Wrap(err, "set write deadline")
	}
	for _, f := range frames {
		if err := writeFrame(l.conn.writer, f); err != nil {
			return err
		}
		l.peers.countBytes(metric.Sent, f.size())
	}
	return eris.Wrap(l.conn.writer.Flush(), "flush frames")
}

// readLoop handles frames until the connection ends or no frame arrives in time.
func (l *link) readLoop() error {
	peerInterval := time.Duration(0)
	lastReceived := l.peers.options.Timer.Now()
	for {
		interval := max(l.heartbeatInterval(), peerInterval)
		l.silentAt.Store(lastReceived.Add(silentHeartbeats * interval / 2).UnixNano())
		timeout := maxMissedHeartbeats * max(l.peers.heartbeatInterval(), interval)
		if err := l.conn.SetReadDeadline(lastReceived.Add(timeout)); err != nil {
			return eris.Wrap(err, "set read deadline")
		}
		f, err := readFrame(l.conn.reader, allowedAfterHello)
		if err != nil {
			return err
		}
		l.peers.countBytes(metric.Received, f.size())
		now := l.peers.options.Timer.Now()
		if now.Sub(lastReceived) > timeout {
			// This router was paused, and the frame was sent before the other
			// routers considered it lost. Slots that it grants may have been
			// granted to other routers meanwhile.
			return eris.Wrap(os.ErrDeadlineExceeded, "frame read after a pause")
		}
		lastReceived = now
		if peerInterval, err = l.handleFrame(f, peerInterval); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame and returns the other side's heartbeat interval:
// the one in a heartbeat frame, else peerInterval.
func (l *link) handleFrame(f frame, peerInterval time.Duration) (time.Duration, error) {
	malformed := &MalformedFrameError{Kind: byte(f.kind), Length: uint64(len(f.payload))}
	switch f.kind {
	case heartbeatFrame:
		ms, n := binary.Uvarint(f.payload)
		if n <= 0 {
			return 0, malformed
		}
		return min(time.Duration(ms)*time.Millisecond, maxAnnouncedInterval), nil
	case batchFrame:
		batch := &schema.Batch{}
		if err := proto.Unmarshal(f.payload, batch); err != nil {
			return 0, malformed
		}
		l.handleBatch(batch)
		return peerInterval, nil
	case callFrame:
		select {
		case l.pendingCalls <- f.payload:
			return peerInterval, nil
		case <-l.closed:
			return 0, net.ErrClosed
		}
	default:
		return 0, malformed
	}
}

// handleBatch passes a batch to the OnBatch callbacks. A panic in one of them drops
// the batch and leaves the connection open.
func (l *link) handleBatch(batch *schema.Batch) {
	from := fleet.RouterID(l.hello.GetRouter())
	l.peers.options.Guard.Run(recovery.Message, func() {
		for _, fn := range l.peers.onBatch {
			fn(from, batch)
		}
	}, "other", from)
}

// handleCall runs the handler of a call's method.
func (l *link) handleCall(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (answer any, err error) {
	fn := l.peers.handlers[request.Method]
	if fn == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + request.Method}
	}
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	err = l.peers.options.Guard.Do(recovery.Message, func() (err error) {
		answer, err = fn(ctx, params)
		return err
	}, "other", l.hello.GetRouter(), "method", request.Method)
	return answer, err
}

// callStream sends and receives JSON-RPC objects as frames of a link.
type callStream struct{ link *link }

// WriteObject queues an object to be sent.
func (s *callStream) WriteObject(object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return eris.Wrap(err, "encode call")
	}
	if len(data) > maxCallBytes {
		return &MalformedFrameError{Kind: byte(callFrame), Length: uint64(len(data))}
	}
	select {
	case <-s.link.closed:
		return net.ErrClosed
	default:
		s.link.enqueue(frame{callFrame, data})
		return nil
	}
}

// ReadObject waits for the next object and decodes it into value.
func (s *callStream) ReadObject(value any) error {
	select {
	case data := <-s.link.pendingCalls:
		return eris.Wrap(json.Unmarshal(data, value), "decode call")
	case <-s.link.closed:
		return io.EOF
	}
}

// Close closes the connection.
func (s *callStream) Close() error {
	go s.link.close()
	return nil
}
