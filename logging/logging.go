// Package logging writes structured log lines without blocking requests.
//
// A router that waited for a slow reader of its log would be slow itself, most of
// all under load, when it logs the most. So lines pass through a bounded queue to
// one goroutine. Lines that don't fit are dropped and counted, and the count is logged.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// queueCapacity bounds the queued lines. At some 400 bytes a line they take 400 KB.
	queueCapacity = 1024
	// maxLinesPerSecond bounds the lines written in a second. A line takes about 5 µs
	// including its write, so logging uses at most some 0.2 % of a processor.
	maxLinesPerSecond = 400
	// panicReserve is how many lines about panics are allowed in a second beyond
	// maxLinesPerSecond.
	panicReserve = 50
	// maxDeferredPerSecond bounds the lines deferred in a second, because each of them has
	// to be formatted.
	maxDeferredPerSecond = 300
	// batchDelay is how long lines are collected before they are written together.
	// Under load a separate write for each line wakes a thread and costs as much as the
	// line. A process that is killed loses the lines of that time.
	batchDelay = 10 * time.Millisecond
)

// Priority determines which lines are dropped first if too many are logged in a second.
type Priority int

const (
	// Router is for the state of the router, of other routers and of upstreams, which
	// explains all other lines. It is the priority of the loggers that Logger
	// returns.
	Router Priority = iota
	// Failure is for requests that were sent to an upstream and got no complete answer.
	Failure
	// Request is for requests that succeeded, or were sent to no upstream. Under overload
	// they are by far the most frequent.
	Request
	// Panic is for panics. A second has room for panicReserve of them whatever else is
	// logged.
	Panic

	priorityCount = iota
)

// lineLimits holds the number of lines queued in a second at which lines of each priority
// are no longer queued, so that there is always room for a higher priority.
var lineLimits = [priorityCount]int{Panic: maxLinesPerSecond + panicReserve, Router: maxLinesPerSecond, Failure: 300, Request: 150}

// Writer queues lines and writes them to another writer. Create it with New.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// second is the current second in Unix time; queued and deferredCount count its lines.
	second        int64
	queued        int
	deferredCount int
	// deferred holds lines of priority Failure until there is room for them.
	deferred       deferredLines
	flushScheduled bool
	dropped        [priorityCount]uint64
	closed         bool
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger(level slog.Level) *slog.Logger {
	return slog.New(newLimitedHandler(w, Router, func(out io.Writer) slog.Handler {
		return slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	}))
}

// WithPriority returns a logger whose lines have a priority. A logger that was not
// created by Logger is returned unchanged.
func WithPriority(log *slog.Logger, priority Priority) *slog.Logger {
	h, ok := log.Handler().(*limitedHandler)
	if !ok {
		return log
	}
	return slog.New(newLimitedHandler(h.writer, priority, h.build))
}

// limitedHandler drops lines beyond the limit of their priority before they are formatted,
// which is the most expensive part of a line.
type limitedHandler struct {
	slog.Handler
	writer   *Writer
	priority Priority
	// build creates the wrapped handler for an output.
	build func(out io.Writer) slog.Handler
}

func newLimitedHandler(w *Writer, priority Priority, build func(out io.Writer) slog.Handler) *limitedHandler {
	return &limitedHandler{build(priorityOutput{w, priority}), w, priority, build}
}

// Enabled reports whether a line of a level would be queued or deferred now.
func (h *limitedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.Handler.Enabled(ctx, level) && h.writer.accepts(h.priority)
}

// WithAttrs returns a handler with the same priority.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return newLimitedHandler(h.writer, h.priority, func(out io.Writer) slog.Handler { return h.build(out).WithAttrs(attrs) })
}

// WithGroup returns a handler with the same priority.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return newLimitedHandler(h.writer, h.priority, func(out io.Writer) slog.Handler { return h.build(out).WithGroup(name) })
}

// priorityOutput queues the lines of one priority at a Writer.
type priorityOutput struct {
	writer   *Writer
	priority Priority
}

// Write queues one line. It never blocks and never fails: a line that doesn't fit is
// deferred, or dropped and counted.
func (p priorityOutput) Write(line []byte) (int, error) {
	p.writer.write(p.priority, append([]byte(nil), line...))
	return len(line), nil
}

func (w *Writer) write(priority Priority, line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetEachSecond()
	switch {
	case w.closed:
		w.dropped[priority]++
	case w.queued < lineLimits[priority] && w.enqueue(line):
	case priority == Failure && w.deferredCount < maxDeferredPerSecond:
		w.deferLine(line)
	default:
		w.dropped[priority]++
	}
}

// enqueue adds a line to the queue and reports whether there was room.
func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		w.queued++
		return true
	default:
		return false
	}
}

// deferLine keeps a line until there is room.
func (w *Writer) deferLine(line []byte) {
	w.deferredCount++
	w.dropped[Failure] += uint64(w.deferred.push(line))
	if w.flushScheduled {
		return
	}
	w.flushScheduled = true
	time.AfterFunc(flushInterval, w.flush)
}

// flushInterval is the time between two attempts to queue deferred lines.
const flushInterval = 200 * time.Millisecond

// flush queues deferred lines while there is room for their priority.
func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.resetEachSecond()
	for w.queued < lineLimits[Failure] && len(w.lines) < queueCapacity {
		line := w.deferred.pop()
		if line == nil {
			w.flushScheduled = false
			return
		}
		w.enqueue(line) // can't fail: w.mu is held, and run only empties the queue
	}
	time.AfterFunc(flushInterval, w.flush)
}

// accepts reports whether a line would be queued or deferred now. If not, it counts the
// line as dropped.
func (w *Writer) accepts(priority Priority) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetEachSecond()
	if w.queued < lineLimits[priority] || (priority == Failure && w.deferredCount < maxDeferredPerSecond) {
		return true
	}
	w.dropped[priority]++
	return false
}

// resetEachSecond resets the counts at the beginning of each second.
func (w *Writer) resetEachSecond() {
	if second := time.Now().Unix(); second != w.second {
		w.second = second
		w.queued, w.deferredCount = 0, 0
	}
}

// Dropped returns how many lines of a priority were dropped.
func (w *Writer) Dropped(priority Priority) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped[priority]
}

// Close writes all queued and deferred lines and stops the Writer.
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
	var logged [priorityCount]uint64
	for line := range w.lines {
		time.Sleep(batchDelay)
		w.writeQueued(line)
		if len(w.lines) == 0 {
			logged = w.logDropped(logged)
		}
	}
	for line := w.deferred.pop(); line != nil; line = w.deferred.pop() {
		w.writeQueued(line)
	}
	w.logDropped(logged)
}

// logDropped logs the total of dropped lines if it has changed since logged.
func (w *Writer) logDropped(logged [priorityCount]uint64) [priorityCount]uint64 {
	w.mu.Lock()
	dropped := w.dropped
	w.mu.Unlock()
	if dropped == logged {
		return logged
	}
	total := uint64(0)
	for _, count := range dropped {
		total += count
	}
	line := fmt.Sprintf(`{"level":"WARN","msg":"log lines dropped","total":%d,"router-lines":%d,"failure-lines":%d,"request-lines":%d,"panic-lines":%d}`+"\n",
		total, dropped[Router], dropped[Failure], dropped[Request], dropped[Panic])
	_, _ = io.WriteString(w.out, line) // a failure of the log can't be reported
	return dropped
}

// writeQueued writes a line and the lines that are queued after it.
func (w *Writer) writeQueued(line []byte) {
	for line != nil {
		var batch []byte
		batch, line = w.nextBatch(line)
		_, _ = w.out.Write(batch) // a failure of the log can't be reported
	}
}

// maxAtomicWrite is the largest write to a pipe that is atomic, in bytes. A reader of the
// log may lose the end of a longer one.
const maxAtomicWrite = 4096

// nextBatch appends to batch the queued lines that fit into one write. It also returns the
// first line that did not fit, nil if there is none.
func (w *Writer) nextBatch(batch []byte) (lines, next []byte) {
	for range len(w.lines) {
		line := <-w.lines
		if len(batch)+len(line) > maxAtomicWrite {
			return batch, line
		}
		batch = append(batch, line...)
	}
	return batch, nil
}
