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
	// leastHeartbeat is the time between heartbeats in a small fleet.
	leastHeartbeat = time.Second
	// heartbeatPerLink stretches it in a large one: 100 heartbeats a second of
	// 4 bytes are a seventh of the control allowance.
	heartbeatPerLink = 10 * time.Millisecond
	// silentHeartbeats is how many of the sender's heartbeats may be missed.
	silentHeartbeats = 3
	// maxSilence bounds what a router may announce as its heartbeat.
	maxSilence = time.Minute
	// queueFrames and queueBytes bound what waits for one router. A router that
	// reads takes each frame within milliseconds.
	queueFrames = 1024
	queueBytes  = 40 << 20
	// queueCalls bounds the calls of one router that wait to be handled.
	queueCalls = 64
)

// link is the connection to one router.
type link struct {
	peers    *Peers
	conn     *conn
	hello    *schema.Hello
	outgoing bool
	rpc      *jsonrpc2.Conn

	mu     sync.Mutex
	queue  []frame
	bytes  int
	wake   chan struct{}
	calls  chan json.RawMessage
	once   sync.Once
	closed chan struct{}
}

func newLink(p *Peers, c *conn, hello *schema.Hello, outgoing bool) *link {
	return &link{
		peers: p, conn: c, hello: hello, outgoing: outgoing,
		wake: make(chan struct{}, 1), calls: make(chan json.RawMessage, queueCalls), closed: make(chan struct{}),
	}
}

func (l *link) life() fleet.Incarnation { return fleet.Incarnation(l.hello.GetIncarnation()) }

// preferred reports whether the router with the lesser id dialled.
func (l *link) preferred() bool {
	return l.outgoing == (string(l.peers.options.Self) < l.hello.GetRouter())
}

// run carries frames until the connection ends.
func (l *link) run(ctx context.Context) {
	l.rpc = jsonrpc2.NewConn(ctx, &callStream{link: l}, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(l.handle)))
	if !l.peers.add(l) {
		l.close()
		return
	}
	var group sync.WaitGroup
	group.Go(l.write)
	err := l.read()
	l.close()
	group.Wait()
	l.peers.remove(l)
	l.fault(err)
}

// fault counts why a connection ended, when the other side is the cause.
func (l *link) fault(err error) {
	var malformed *MalformedFrameError
	switch {
	case errors.As(err, &malformed):
		l.peers.faults.malformed.Add(1)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.peers.faults.silent.Add(1)
	}
	l.peers.options.Logger.Debug("connection to router ended", "router", l.hello.GetRouter(), "error", err)
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
		if l.rpc != nil {
			_ = l.rpc.Close()
		}
	})
}

// enqueue hands a frame to the writer. It never waits.
func (l *link) enqueue(f frame) {
	l.mu.Lock()
	full := len(l.queue) >= queueFrames || l.bytes+len(f.payload) > queueBytes
	if !full {
		l.queue = append(l.queue, f)
		l.bytes += len(f.payload)
	}
	l.mu.Unlock()
	if full {
		// A router that stands still, or a link that is too slow: what is
		// queued grows old. Closing makes both sides begin anew from what
		// they hold, in place of a queue that delays ever more.
		l.peers.faults.overflown.Add(1)
		go l.close()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) take() []frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue, l.bytes = nil, 0
	return queue
}

// write sends what is queued, and a heartbeat when nothing was for a while.
func (l *link) write() {
	defer l.close()
	for {
		interval := l.peers.heartbeat()
		frames := l.take()
		if len(frames) == 0 {
			frames = []frame{{heartbeatFrame, binary.AppendUvarint(nil, uint64(interval.Milliseconds()))}}
		}
		if err := l.send(frames); err != nil {
			return
		}
		idle := make(chan struct{})
		beat := l.peers.options.Timer.After(interval, func(time.Time) { close(idle) })
		select {
		case <-l.wake:
		case <-idle:
		case <-l.closed:
			beat.Cancel()
			return
		}
		beat.Cancel()
	}
}

func (l *link) send(frames []frame) error {
	// Without a deadline a router that reads nothing would keep this
	// goroutine and its frames for ever.
	if err := l.conn.SetWriteDeadline(l.peers.options.Timer.Now().Add(silentHeartbeats * l.peers.heartbeat())); err != nil {
		return eris.Wrap(err, "write deadline")
	}
	for _, f := range frames {
		if err := writeFrame(l.conn.writer, f); err != nil {
			return err
		}
		l.peers.count(metric.Sent, f.size())
	}
	return eris.Wrap(l.conn.writer.Flush(), "flush frames")
}

// read takes frames until the connection ends or the router is silent.
func (l *link) read() error {
	announced := time.Duration(0)
	heard := l.peers.options.Timer.Now()
	for {
		silence := silentHeartbeats * max(l.peers.heartbeat(), announced)
		if err := l.conn.SetReadDeadline(heard.Add(silence)); err != nil {
			return eris.Wrap(err, "read deadline")
		}
		f, err := readFrame(l.conn.reader, afterHello)
		if err != nil {
			return err
		}
		l.peers.count(metric.Received, f.size())
		now := l.peers.options.Timer.Now()
		if now.Sub(heard) > silence {
			// This router was paused, and reads now what was sent before the
			// others gave it up. Grants among it belong to others by now.
			return eris.Wrap(os.ErrDeadlineExceeded, "frame from before a pause")
		}
		heard = now
		if announced, err = l.handleFrame(f, announced); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame and returns the other side's heartbeat interval.
func (l *link) handleFrame(f frame, announced time.Duration) (time.Duration, error) {
	malformed := &MalformedFrameError{Kind: byte(f.kind), Length: uint64(len(f.payload))}
	switch f.kind {
	case heartbeatFrame:
		ms, n := binary.Uvarint(f.payload)
		if n <= 0 {
			return 0, malformed
		}
		return min(time.Duration(ms)*time.Millisecond, maxSilence), nil
	case batchFrame:
		batch := &schema.Batch{}
		if err := proto.Unmarshal(f.payload, batch); err != nil {
			return 0, malformed
		}
		l.receive(batch)
		return announced, nil
	case callFrame:
		select {
		case l.calls <- f.payload:
			return announced, nil
		case <-l.closed:
			return 0, net.ErrClosed
		}
	default:
		return 0, malformed
	}
}

// receive hands a batch to those who wait for batches. One that makes them panic is dropped.
func (l *link) receive(batch *schema.Batch) {
	from := fleet.RouterID(l.hello.GetRouter())
	l.peers.options.Guard.Run(recovery.Message, func() {
		for _, fn := range l.peers.onBatch {
			fn(from, batch)
		}
	}, "other", from)
}

// handle answers one call.
func (l *link) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (answer any, err error) {
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

// callStream carries JSON-RPC objects as frames of a link.
type callStream struct{ link *link }

// WriteObject queues one object.
func (s *callStream) WriteObject(object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return eris.Wrap(err, "encode call")
	}
	if len(data) > maxCall {
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

// ReadObject waits for the next object.
func (s *callStream) ReadObject(value any) error {
	select {
	case data := <-s.link.calls:
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
