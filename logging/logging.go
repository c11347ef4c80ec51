// Package logging writes structured log lines without ever making a request wait.
//
// It answers load: a router that waits for a slow reader of its log is slow
// itself, just when there is most to log. Lines go through a bounded queue to
// one goroutine; what doesn't fit is dropped, counted, and the count logged.
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
	// capacity is the lines that wait at most; at some 400 bytes they take 400 KB.
	capacity = 1024
	// perSecond bounds the lines of a second. A line costs about 5 µs with its
	// write, so the log takes at most some 0.2 % of a processor.
	perSecond = 400
	// panicReserve is how many lines of a second may follow perSecond if they are about panics.
	panicReserve = 50
	// deferredPerSecond bounds the lines of a second that are deferred, since each is put together.
	deferredPerSecond = 300
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

	priorities = iota
)

// bounds is how many lines may have been written in a second before one of a priority, so
// that a higher priority always has room left.
var bounds = [priorities]int{Panic: perSecond + panicReserve, Router: perSecond, Failure: 300, Request: 150}

// Writer queues whole lines for another writer. Make it by New.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	second int64
	// queued and deferrals count the lines of this second.
	queued    int
	deferrals int
	// deferred holds lines of failures that had no room, until there is some again.
	deferred       ring
	flushScheduled bool
	dropped        [priorities]uint64
	closed         bool
}

// New returns a Writer in front of out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Log returns a logger that writes lines of JSON to w.
func (w *Writer) Log(level slog.Level) *slog.Logger {
	return slog.New(newBounded(w, Router, func(out io.Writer) slog.Handler {
		return slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	}))
}

// WithPriority returns a logger whose lines have a priority. A logger that isn't a Writer's
// is returned as it is.
func WithPriority(log *slog.Logger, priority Priority) *slog.Logger {
	b, ok := log.Handler().(*bounded)
	if !ok {
		return log
	}
	return slog.New(newBounded(b.writer, priority, b.build))
}

// bounded drops lines beyond the bound of a second before they are put together,
// which costs more than all else that is done for them.
type bounded struct {
	slog.Handler
	writer   *Writer
	priority Priority
	// build returns the same handler for another output.
	build func(out io.Writer) slog.Handler
}

func newBounded(w *Writer, priority Priority, build func(out io.Writer) slog.Handler) *bounded {
	return &bounded{build(prioritised{w, priority}), w, priority, build}
}

// Enabled reports whether a line of a level would be written now, or deferred.
func (b *bounded) Enabled(ctx context.Context, level slog.Level) bool {
	return b.Handler.Enabled(ctx, level) && b.writer.admits(b.priority)
}

// WithAttrs keeps the priority.
func (b *bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return newBounded(b.writer, b.priority, func(out io.Writer) slog.Handler { return b.build(out).WithAttrs(attrs) })
}

// WithGroup keeps the priority.
func (b *bounded) WithGroup(name string) slog.Handler {
	return newBounded(b.writer, b.priority, func(out io.Writer) slog.Handler { return b.build(out).WithGroup(name) })
}

// prioritised queues lines of one priority.
type prioritised struct {
	writer   *Writer
	priority Priority
}

// Write queues one line. It never waits, and fails never: a line that doesn't fit is deferred
// or dropped, and counted then.
func (p prioritised) Write(line []byte) (int, error) {
	p.writer.write(p.priority, append([]byte(nil), line...))
	return len(line), nil
}

func (w *Writer) write(priority Priority, line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startSecond()
	switch {
	case w.closed:
		w.dropped[priority]++
	case w.queued < bounds[priority] && w.enqueue(line):
	case priority == Failure && w.deferrals < deferredPerSecond:
		w.deferLine(line)
	default:
		w.dropped[priority]++
	}
}

// enqueue reports whether a line has fitted into the queue.
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
	w.deferrals++
	w.dropped[Failure] += uint64(w.deferred.push(line))
	if w.flushScheduled {
		return
	}
	w.flushScheduled = true
	time.AfterFunc(flushInterval, w.flush)
}

// flushInterval is the time between two attempts to queue deferred lines.
const flushInterval = 200 * time.Millisecond

// flush queues deferred lines as far as there is room for their priority.
func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.startSecond()
	for w.queued < bounds[Failure] && len(w.lines) < capacity {
		line := w.deferred.pop()
		if line == nil {
			w.flushScheduled = false
			return
		}
		w.enqueue(line) // only the goroutine that empties the queue runs beside this one
	}
	time.AfterFunc(flushInterval, w.flush)
}

// admits reports whether a line would be queued or deferred now, and counts it as dropped if not.
func (w *Writer) admits(priority Priority) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startSecond()
	if w.queued < bounds[priority] || (priority == Failure && w.deferrals < deferredPerSecond) {
		return true
	}
	w.dropped[priority]++
	return false
}

// startSecond begins to count anew with each second.
func (w *Writer) startSecond() {
	if second := time.Now().Unix(); second != w.second {
		w.second = second
		w.queued, w.deferrals = 0, 0
	}
}

// Dropped returns how many lines of a priority were dropped.
func (w *Writer) Dropped(priority Priority) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped[priority]
}

// Close writes what is queued and deferred, and ends.
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
	var logged [priorities]uint64
	for line := range w.lines {
		time.Sleep(gathering)
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

// logDropped writes how many lines were dropped so far, if that has changed.
func (w *Writer) logDropped(logged [priorities]uint64) [priorities]uint64 {
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
	_, _ = io.WriteString(w.out, line) // nobody is left to tell
	return dropped
}

// writeQueued writes a line and those that are queued behind it.
func (w *Writer) writeQueued(line []byte) {
	for line != nil {
		var batch []byte
		batch, line = w.gather(line)
		_, _ = w.out.Write(batch) // nobody is left to tell
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
