package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// queueCapacity is the maximum number of records waiting to be written. At 150
// requests per second the disk or pipe can stall for about half a minute.
const queueCapacity = 4096

// Recorder writes a trace while requests are served. Record never blocks, since
// a request must not wait for its trace: if the writer can't keep up, records
// are dropped and counted.
type Recorder struct {
	queue chan Record
	// unreportedDrops counts the dropped records not yet written to the trace.
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	writerFailed    atomic.Bool
	// unflushed counts the records encoded since the last flush, which are lost if
	// the writer fails.
	unflushed int
	writer    *bufio.Writer
	encoder   *json.Encoder
}

// NewRecorder returns a Recorder whose Run writes to w.
func NewRecorder(w io.Writer) *Recorder {
	buffered := bufio.NewWriter(w)
	return &Recorder{
		queue: make(chan Record, queueCapacity), writer: buffered, encoder: json.NewEncoder(buffered),
	}
}

// Record queues a record for writing, or drops and counts it. It is safe for
// concurrent use.
func (r *Recorder) Record(record Record) {
	select {
	case r.queue <- record:
		// If the writer has failed, nothing will read this record from the queue.
		if r.writerFailed.Load() {
			r.dropQueued()
		}
	default:
		r.countDrop()
	}
}

func (r *Recorder) countDrop() {
	r.unreportedDrops.Add(1)
	r.totalDrops.Add(1)
}

// dropQueued drops the queued records after the writer has failed.
func (r *Recorder) dropQueued() {
	for {
		select {
		case <-r.queue:
			r.countDrop()
		default:
			return
		}
	}
}

// Dropped returns the number of records dropped so far.
func (r *Recorder) Dropped() int64 { return r.totalDrops.Load() }

// Run writes the header and then records until ctx ends, followed by those still
// queued. It returns the first error of the writer; from then on every record
// is dropped and counted.
func (r *Recorder) Run(ctx context.Context, header Header) error {
	err := r.writeRecords(ctx, header)
	if err != nil {
		r.writerFailed.Store(true)
		r.unreportedDrops.Add(int64(r.unflushed))
		r.totalDrops.Add(int64(r.unflushed))
		r.dropQueued()
	}
	return err
}

func (r *Recorder) writeRecords(ctx context.Context, header Header) error {
	header.Format, header.Version = Format, Version
	if err := r.encode(header); err != nil {
		return err
	}
	for {
		select {
		case record := <-r.queue:
			if err := r.writeRecord(record); err != nil {
				return err
			}
		case <-ctx.Done():
			return r.writeQueued()
		}
	}
}

// writeQueued writes the queued records and flushes.
func (r *Recorder) writeQueued() error {
	for {
		select {
		case record := <-r.queue:
			if err := r.writeRecord(record); err != nil {
				return err
			}
		default:
			if err := r.writeDropCount(); err != nil {
				return err
			}
			return r.flush()
		}
	}
}

// writeRecord writes the number of records dropped since the last one, if any,
// and then a record. It flushes if the queue is empty, so that a trace can be
// read while it is recorded.
func (r *Recorder) writeRecord(record Record) error {
	if err := r.writeDropCount(); err != nil {
		return err
	}
	r.unflushed++
	if err := r.encode(record); err != nil {
		return err
	}
	if len(r.queue) > 0 {
		return nil
	}
	return r.flush()
}

func (r *Recorder) flush() error {
	if err := r.writer.Flush(); err != nil {
		return eris.Wrap(err, "can't write the trace")
	}
	r.unflushed = 0
	return nil
}

func (r *Recorder) writeDropCount() error {
	count := r.unreportedDrops.Swap(0)
	if count == 0 {
		return nil
	}
	return r.encode(dropLine{Count: int(count)})
}

func (r *Recorder) encode(value any) error {
	return eris.Wrap(r.encoder.Encode(value), "can't write the trace")
}

// Write writes a whole trace.
func Write(w io.Writer, header Header, records []Record) error {
	header.Format, header.Version = Format, Version
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(header); err != nil {
		return eris.Wrap(err, "can't write the trace")
	}
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return eris.Wrap(err, "can't write the trace")
		}
	}
	return eris.Wrap(buffered.Flush(), "can't write the trace")
}
