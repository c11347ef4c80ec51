package stream

import (
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Connection is an open answer of an engine.
type Connection struct {
	// Stream is the stream's id as the engine names it in its answer.
	Stream string
	Body   io.ReadCloser
}

// Source opens a stream again after the event with id after. It fails with
// *GoneError when the engine no longer has the stream, and with another error
// when another try may help.
type Source interface {
	Resume(ctx context.Context, after EventID) (*Connection, error)
}

// Sink takes whole events, in order. More is true when another event is at
// hand, so that a flush may wait for it. An error ends the relay.
type Sink interface {
	Event(event Event, more bool) error
}

// Relay passes one stream on, over as many connections as it takes.
type Relay struct {
	// Stream is the id that each connection has to name.
	Stream string
	// After is the id of the last event that the caller has.
	After EventID
	// Source opens further connections; nil when a broken stream is final.
	Source Source
	// Again decides whether another connection is tried after a break, and
	// waits as long as that should take.
	Again func(ctx context.Context, cause error) bool

	finished bool
}

// GoneError is the error of a stream that its engine no longer has.
type GoneError struct{ Stream string }

// Error names the stream.
func (e *GoneError) Error() string { return "the engine has no stream " + e.Stream }

// SpliceError is the error of a connection that carries another stream than
// the one asked for.
type SpliceError struct{ Expected, Found string }

// Error names both streams.
func (e *SpliceError) Error() string {
	return "asked for stream " + e.Expected + ", was given " + e.Found
}

// SinkError is the error of a caller that takes no more events.
type SinkError struct{ Cause error }

// Error gives the cause.
func (e *SinkError) Error() string { return "caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// Run passes events from connection to sink until the event that ends the
// answer, and resumes after each break for as long as Again says so. It
// returns nil after the last event, *SinkError, *OrderError, *SpliceError,
// *IDError, *TooLargeError or *GoneError, which a further try can't mend, or
// the error of the last break. It closes every connection.
func (r *Relay) Run(ctx context.Context, connection *Connection, sink Sink) error {
	for {
		err := r.pass(connection, sink)
		if err == nil || final(err) {
			return err
		}
		if connection, err = r.reconnect(ctx, err); err != nil {
			return err
		}
	}
}

// Open resumes the stream without a first connection.
func (r *Relay) Open(ctx context.Context, sink Sink) error {
	connection, err := r.Source.Resume(ctx, r.After)
	if err != nil && !final(err) {
		connection, err = r.reconnect(ctx, err)
	}
	if err != nil {
		return err
	}
	return r.Run(ctx, connection, sink)
}

func (r *Relay) reconnect(ctx context.Context, cause error) (*Connection, error) {
	for r.Source != nil && ctx.Err() == nil && r.Again(ctx, cause) {
		connection, err := r.Source.Resume(ctx, r.After)
		if err == nil {
			return connection, nil
		}
		if final(err) {
			return nil, err
		}
		cause = err
	}
	return nil, cause
}

// pass reads one connection to its end. It returns nil only after the event
// that ends the answer.
func (r *Relay) pass(connection *Connection, sink Sink) error {
	defer connection.Body.Close()
	if connection.Stream != r.Stream {
		return &SpliceError{Expected: r.Stream, Found: connection.Stream}
	}
	reader := NewReader(connection.Body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return eris.Wrap(io.ErrUnexpectedEOF, "stream ended before its last event")
		}
		if err != nil {
			return err
		}
		if err := r.deliver(event, reader.More(), sink); err != nil {
			return err
		}
		if r.finished {
			return nil
		}
	}
}

// deliver checks the order before the event goes out. An engine that loses or
// repeats an event over a resumption would otherwise leave the caller with a
// sentence that lacks or doubles a word, and nothing to notice it by.
func (r *Relay) deliver(event Event, more bool, sink Sink) error {
	if event.ID == 0 && event.Data == nil {
		return wrapSink(sink.Event(event, more))
	}
	if event.ID != r.After+1 {
		return &OrderError{Expected: r.After + 1, Found: event.ID}
	}
	if err := sink.Event(event, more); err != nil {
		return wrapSink(err)
	}
	r.After = event.ID
	r.finished = event.Last()
	return nil
}

func wrapSink(err error) error {
	if err == nil {
		return nil
	}
	return &SinkError{Cause: err}
}

func final(err error) bool {
	var (
		sink     *SinkError
		order    *OrderError
		splice   *SpliceError
		id       *IDError
		tooLarge *TooLargeError
		gone     *GoneError
	)
	return errors.As(err, &sink) || errors.As(err, &order) || errors.As(err, &splice) ||
		errors.As(err, &id) || errors.As(err, &tooLarge) || errors.As(err, &gone)
}
