// Package logging writes structured log lines without ever making a request wait.
//
// It answers load: a router that waits for a slow reader of its log is slow
// itself, just when there is most to log. Lines go through a bounded queue to
// one goroutine; what doesn't fit is dropped, counted, and the count logged.
package logging

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// capacity is the lines that wait at most; at some 400 bytes they take 400 KB.
	capacity = 1024
	// perSecond bounds the lines of a second. A line costs about 5 µs with its
	// write, so the log takes at most some 0.2 % of a processor.
	perSecond = 400
	// panicReserve is how many lines of a second may follow perSecond if they are about panics.
	panicReserve = 50
	// gathering is how long lines are gathered before they are written together.
	// Under load each write by itself wakes a thread and costs as much as the line.
	// A process that is killed loses the lines of so long.
	gathering = 10 * time.Millisecond
)

// Priority says which lines are dropped first once many are written in a second.
type Priority int

const (
	// Router is for what a router believes of itself, of others and of upstreams, which
	// explains all other lines. It is the priority of a logger that Log returns.
	Router Priority = iota
	// Failure is for requests that were sent to an upstream and got no whole answer.
	Failure
	// Request is for requests that ended well, and those that no upstream has seen. Under a
	// flood they are by far the most.
	Request
	// Panic is for panics, which no other line may push out.
	Panic
)

// bounds is how many lines may have been written in a second before one of a priority, so
// that a higher priority always has room left.
var bounds = map[Priority]int{Panic: perSecond + panicReserve, Router: perSecond, Failure: 300, Request: 150}

// Writer queues whole lines for another writer. Make it by New.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.Mutex
	second int64
	count  int
	closed bool
}

// New returns a Writer in front of out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Log returns a logger that writes lines of JSON to w.
func (w *Writer) Log(level slog.Level) *slog.Logger {
	return slog.New(&bounded{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), w, bounds[Router]})
}

// WithPriority returns a logger whose lines have a priority. A logger that isn't a Writer's
// is returned as it is.
func WithPriority(log *slog.Logger, priority Priority) *slog.Logger {
	b, ok := log.Handler().(*bounded)
	if !ok {
		return log
	}
	return slog.New(&bounded{b.Handler, b.writer, bounds[priority]})
}

// bounded drops lines beyond the bound of a second before they are put together,
// which costs more than all else that is done for them.
type bounded struct {
	slog.Handler
	writer *Writer
	// most is how many lines of a second this one may follow.
	most int
}

// Enabled reports whether a line of a level would be written now.
func (b *bounded) Enabled(ctx context.Context, level slog.Level) bool {
	return b.Handler.Enabled(ctx, level) && b.writer.hasRoom(b.most)
}

// WithAttrs keeps the bound.
func (b *bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &bounded{b.Handler.WithAttrs(attrs), b.writer, b.most}
}

// WithGroup keeps the bound.
func (b *bounded) WithGroup(name string) slog.Handler {
	return &bounded{b.Handler.WithGroup(name), b.writer, b.most}
}

// Write queues one line. It never waits, and fails never: a line that doesn't
// fit is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admits(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// hasRoom reports whether fewer than so many lines were written in this second, and
// counts a line that is dropped if not.
func (w *Writer) hasRoom(most int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.second != time.Now().Unix() || w.count < most {
		return true
	}
	w.dropped.Add(1)
	return false
}

// admits counts a line of a second and reports whether it is within the bound.
func (w *Writer) admits(second int64) bool {
	if second != w.second {
		w.second = second
		w.count = 0
	}
	w.count++
	return w.count <= perSecond+panicReserve
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	told := uint64(0)
	for line := range w.lines {
		time.Sleep(gathering)
		w.writeQueued(line)
		dropped := w.Dropped()
		if len(w.lines) == 0 && dropped > told {
			told = dropped
			_, _ = w.out.Write([]byte(`{"level":"WARN","msg":"log lines dropped","total":` + strconv.FormatUint(dropped, 10) + "}\n"))
		}
	}
}

// writeQueued writes a line and those that are queued behind it.
func (w *Writer) writeQueued(line []byte) {
	for line != nil {
		var batch []byte
		batch, line = w.gather(line)
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1) // nobody is left to tell but the counter
		}
	}
}

// atomicWrite is how many bytes a pipe takes whole or not at all. What reads the
// log may lose the end of a longer write.
const atomicWrite = 4096

// gather returns the lines that are queued and fit into one write, the first in
// front, and a line that didn't fit any more.
func (w *Writer) gather(batch []byte) (lines, next []byte) {
	for range len(w.lines) {
		line := <-w.lines
		if len(batch)+len(line) > atomicWrite {
			return batch, line
		}
		batch = append(batch, line...)
	}
	return batch, nil
}
