package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// kind tells what a frame holds.
type kind byte

const (
	// helloFrame holds a schema.Hello and opens a connection.
	helloFrame kind = iota + 1
	// heartbeatFrame holds the time until the sender's next, as a varint in ms.
	heartbeatFrame
	// batchFrame holds a schema.Batch.
	batchFrame
	// callFrame holds one JSON-RPC object.
	callFrame
)

// Bounds of a frame's payload.
const (
	maxHello     = 4 << 10
	maxHeartbeat = 16
	// maxBatch holds all that two routers can have for each other: at 40 bytes
	// for a request, 25,000 of them.
	maxBatch = 1 << 20
	// maxCall holds a fleet state of 36,000 accounts, some 7 MB in binary form.
	maxCall = 32 << 20
)

func (k kind) limit() int {
	switch k {
	case helloFrame:
		return maxHello
	case heartbeatFrame:
		return maxHeartbeat
	case batchFrame:
		return maxBatch
	case callFrame:
		return maxCall
	default:
		return 0
	}
}

func isHello(k kind) bool { return k == helloFrame }

func afterHello(k kind) bool { return k == heartbeatFrame || k == batchFrame || k == callFrame }

// frame is a kind byte, the payload's length as a varint, and the payload.
type frame struct {
	kind    kind
	payload []byte
}

// size returns the bytes that the frame takes on the wire.
func (f frame) size() int { return len(f.header()) + len(f.payload) }

func (f frame) header() []byte {
	return binary.AppendUvarint([]byte{byte(f.kind)}, uint64(len(f.payload)))
}

// MalformedFrameError is the error of a frame that no router sends.
type MalformedFrameError struct {
	Kind   byte
	Length uint64
}

// Error names the kind and the length.
func (e *MalformedFrameError) Error() string {
	return fmt.Sprintf("malformed frame of kind %d with %d bytes", e.Kind, e.Length)
}

// readFrame reads one frame of a kind that accept accepts. It fails with *MalformedFrameError before it
// reads the payload of another kind or of a length beyond the
// kind's limit, so that nobody can make a router hold as much as they like,
// and a stranger not more than a hello.
func readFrame(r *bufio.Reader, accept func(kind) bool) (frame, error) {
	first, err := r.ReadByte()
	if err != nil {
		return frame{}, eris.Wrap(err, "read frame")
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, eris.Wrap(err, "read frame length")
	}
	k := kind(first)
	if !accept(k) || length > uint64(k.limit()) {
		return frame{}, &MalformedFrameError{Kind: first, Length: length}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return frame{}, eris.Wrap(err, "read frame payload")
	}
	return frame{k, payload}, nil
}

// writeFrame writes one frame without flushing it.
func writeFrame(w *bufio.Writer, f frame) error {
	if _, err := w.Write(f.header()); err != nil {
		return eris.Wrap(err, "write frame header")
	}
	_, err := w.Write(f.payload)
	return eris.Wrap(err, "write frame payload")
}

// faults counts connections that were closed for what the other side did.
type faults struct {
	malformed atomic.Int64
	rejected  atomic.Int64
	overflown atomic.Int64
	silent    atomic.Int64
	duplicate atomic.Int64
}

// Faults is how many connections were closed, by cause.
type Faults struct {
	// Malformed sent a frame or message that no router sends.
	Malformed int64
	// Rejected failed to prove that they hold the fleet key, or were of an older life.
	Rejected int64
	// Overflown read too slowly for what was sent to them.
	Overflown int64
	// Silent were not heard for three heartbeats.
	Silent int64
	// Duplicate were second connections to the same router.
	Duplicate int64
}

// Faults returns how many connections were closed, by cause.
func (p *Peers) Faults() Faults {
	return Faults{
		Malformed: p.faults.malformed.Load(), Rejected: p.faults.rejected.Load(),
		Overflown: p.faults.overflown.Load(), Silent: p.faults.silent.Load(),
		Duplicate: p.faults.duplicate.Load(),
	}
}
