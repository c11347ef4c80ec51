package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// frameKind is the type of a frame's payload.
type frameKind byte

const (
	// helloFrame holds a schema.Hello. Only the handshake uses it.
	helloFrame frameKind = iota + 1
	// heartbeatFrame holds the sender's heartbeat interval in ms as a varint.
	heartbeatFrame
	// batchFrame holds a schema.Batch.
	batchFrame
	// callFrame holds one JSON-RPC 2.0 object.
	callFrame
)

// Maximum payload sizes by frame kind.
const (
	maxHelloBytes     = 4 << 10
	maxHeartbeatBytes = 16
	// maxBatchBytes fits all that one router may have to report to another at once:
	// 25,000 requests at 40 bytes each.
	maxBatchBytes = 1 << 20
	// maxCallBytes fits a fleet state of 36,000 accounts, about 7 MB in binary form.
	maxCallBytes = 32 << 20
)

// maxPayload returns the maximum payload size in bytes, 0 for an unknown kind.
func (k frameKind) maxPayload() int {
	switch k {
	case helloFrame:
		return maxHelloBytes
	case heartbeatFrame:
		return maxHeartbeatBytes
	case batchFrame:
		return maxBatchBytes
	case callFrame:
		return maxCallBytes
	default:
		return 0
	}
}

func isHelloFrame(k frameKind) bool { return k == helloFrame }

// allowedAfterHello reports whether frames of kind k are allowed after the handshake.
func allowedAfterHello(k frameKind) bool {
	return k == heartbeatFrame || k == batchFrame || k == callFrame
}

// frame is sent as a kind byte, the payload length as a varint, and the payload.
type frame struct {
	kind    frameKind
	payload []byte
}

// size returns the encoded size of the frame in bytes.
func (f frame) size() int { return len(f.header()) + len(f.payload) }

func (f frame) header() []byte {
	return binary.AppendUvarint([]byte{byte(f.kind)}, uint64(len(f.payload)))
}

// MalformedFrameError reports a frame with an unknown or unexpected kind, a
// payload that is too long, or a payload that can't be decoded.
type MalformedFrameError struct {
	Kind   byte
	Length uint64
}

// Error returns a message with the kind and the payload length.
func (e *MalformedFrameError) Error() string {
	return fmt.Sprintf("malformed frame of kind %d with %d bytes", e.Kind, e.Length)
}

// readFrame reads one frame. It fails with *MalformedFrameError, without reading
// the payload, if allowed rejects the kind or the payload is longer than the
// kind's maximum. This bounds the memory that a sender can make the router
// allocate: before the handshake completes, to the size of a hello.
func readFrame(r *bufio.Reader, allowed func(frameKind) bool) (frame, error) {
	first, err := r.ReadByte()
	if err != nil {
		return frame{}, eris.Wrap(err, "read frame")
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, eris.Wrap(err, "read frame length")
	}
	k := frameKind(first)
	if !allowed(k) || length > uint64(k.maxPayload()) {
		return frame{}, &MalformedFrameError{Kind: first, Length: length}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return frame{}, eris.Wrap(err, "read frame payload")
	}
	return frame{k, payload}, nil
}

// writeFrame writes one frame without flushing the writer.
func writeFrame(w *bufio.Writer, f frame) error {
	if _, err := w.Write(f.header()); err != nil {
		return eris.Wrap(err, "write frame header")
	}
	_, err := w.Write(f.payload)
	return eris.Wrap(err, "write frame payload")
}

// faultCounters counts closed and rejected connections by cause.
type faultCounters struct {
	malformed atomic.Int64
	rejected  atomic.Int64
	queueFull atomic.Int64
	silent    atomic.Int64
	duplicate atomic.Int64
	crowded   atomic.Int64
}

// Faults holds the numbers of connections that were closed or rejected, by cause.
type Faults struct {
	// Malformed counts connections that sent a malformed frame or message.
	Malformed int64
	// Rejected counts connections of routers that did not prove that they hold
	// the fleet key, or that had an outdated incarnation.
	Rejected int64
	// QueueFull counts connections to routers that read too slowly, so that the
	// send queue filled up.
	QueueFull int64
	// Silent counts connections that received nothing for three heartbeat intervals.
	Silent int64
	// Duplicate counts second connections to a router that was already connected.
	Duplicate int64
	// Crowded counts connections that gave way to newer ones before their handshakes were complete.
	Crowded int64
}

// Faults returns the numbers of connections closed or rejected so far.
func (p *Peers) Faults() Faults {
	return Faults{
		Malformed: p.counters.malformed.Load(), Rejected: p.counters.rejected.Load(),
		QueueFull: p.counters.queueFull.Load(), Silent: p.counters.silent.Load(),
		Duplicate: p.counters.duplicate.Load(), Crowded: p.counters.crowded.Load(),
	}
}
