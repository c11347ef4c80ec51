package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// bufferSize is how many records wait to be written: at 150 requests a second
// the disk or pipe may stall for half a minute.
const bufferSize = 4096

// Recorder writes a trace beside the traffic. Record never blocks: while the
// writer can't follow, records are dropped and counted, because a request must
// not wait for its trace.
type Recorder struct {
	records chan Record
	lost    atomic.Int64
	total   atomic.Int64
	failed  atomic.Bool
	// unsure counts records since the last flush, which a writer that fails may
	// not have written.
	unsure  int
	writer  *bufio.Writer
	encoder *json.Encoder
}

// NewRecorder returns a Recorder that writes to w while it is run.
func NewRecorder(w io.Writer) *Recorder {
	buffered := bufio.NewWriter(w)
	return &Recorder{
		records: make(chan Record, bufferSize), writer: buffered, encoder: json.NewEncoder(buffered),
	}
}

// Record hands a record to the writer, or drops and counts it. It may be
// called from any goroutine.
func (r *Recorder) Record(record Record) {
	select {
	case r.records <- record:
		// A writer that failed meanwhile left the queue before it saw this.
		if r.failed.Load() {
			r.discard()
		}
	default:
		r.drop()
	}
}

func (r *Recorder) drop() {
	r.lost.Add(1)
	r.total.Add(1)
}

// discard drops the records that wait, because nobody will write them.
func (r *Recorder) discard() {
	for {
		select {
		case <-r.records:
			r.drop()
		default:
			return
		}
	}
}

// Dropped returns how many records were dropped so far.
func (r *Recorder) Dropped() int64 { return r.total.Load() }

// Run writes the header and then records until ctx ends, and what waits then.
// It returns the first error of the writer; from then on every record is
// dropped and counted.
func (r *Recorder) Run(ctx context.Context, header Header) error {
	err := r.run(ctx, header)
	if err != nil {
		r.failed.Store(true)
		r.lost.Add(int64(r.unsure))
		r.total.Add(int64(r.unsure))
		r.discard()
	}
	return err
}

func (r *Recorder) run(ctx context.Context, header Header) error {
	header.Format, header.Version = Format, Version
	if err := r.write(header); err != nil {
		return err
	}
	for {
		select {
		case record := <-r.records:
			if err := r.writeRecord(record); err != nil {
				return err
			}
		case <-ctx.Done():
			return r.finish()
		}
	}
}

// finish writes the records that wait.
func (r *Recorder) finish() error {
	for {
		select {
		case record := <-r.records:
			if err := r.writeRecord(record); err != nil {
				return err
			}
		default:
			if err := r.writeLost(); err != nil {
				return err
			}
			return r.flush()
		}
	}
}

// writeRecord writes a record, and before it how many were lost. It flushes
// when no other waits, so that a trace can be read while it is recorded.
func (r *Recorder) writeRecord(record Record) error {
	if err := r.writeLost(); err != nil {
		return err
	}
	r.unsure++
	if err := r.write(record); err != nil {
		return err
	}
	if len(r.records) > 0 {
		return nil
	}
	return r.flush()
}

func (r *Recorder) flush() error {
	if err := r.writer.Flush(); err != nil {
		return eris.Wrap(err, "can't write the trace")
	}
	r.unsure = 0
	return nil
}

func (r *Recorder) writeLost() error {
	lost := r.lost.Swap(0)
	if lost == 0 {
		return nil
	}
	return r.write(lostLine{Lost: int(lost)})
}

func (r *Recorder) write(value any) error {
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
