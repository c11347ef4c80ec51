package stream

import (
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Connection is an open answer of an engine.
type Connection struct {
	// Stream is the stream id that the engine states in its answer.
	Stream string
	Body   io.ReadCloser
}

// Source reopens a stream after the event with id after. The error is *GoneError when the engine no
// longer has the stream; after any other error a retry may help.
type Source interface {
	Resume(ctx context.Context, after EventID) (*Connection, error)
}

// Sink receives complete events in order. If more is true, another event follows at once and a
// flush can wait for it. An error ends the relay.
type Sink interface {
	Event(event Event, more bool) error
}

// Relay passes one stream on, over as many connections as needed.
type Relay struct {
	// Stream is the id that each connection must state.
	Stream string
	// After is the id of the last event that the caller has.
	After EventID
	// Source opens further connections; nil if the stream can't be resumed.
	Source Source
	// MayReconnect reports whether to reconnect after an error. It waits for the
	// delay before the reconnect.
	MayReconnect func(ctx context.Context, cause error) bool

	finished bool
}

// GoneError is the error of a stream that its engine no longer has.
type GoneError struct{ Stream string }

// Error names the stream.
func (e *GoneError) Error() string { return "the engine has no stream " + e.Stream }

// WrongStreamError is the error of a connection that carries another stream than the requested one.
type WrongStreamError struct{ Expected, Found string }

// Error names both streams.
func (e *WrongStreamError) Error() string {
	return "requested stream " + e.Expected + ", received " + e.Found
}

// SinkError is the error of a caller that accepts no more events.
type SinkError struct{ Cause error }

// Error returns the cause's text.
func (e *SinkError) Error() string { return "caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// Run passes events from connection to sink until the last one, and resumes after each break while
// MayReconnect returns true. It returns nil after the last event; *SinkError, *OrderError,
// *WrongStreamError, *InvalidIDError, *TooLargeError or *GoneError, after which a retry can't help;
// or the error of the last break. It closes every connection.
func (r *Relay) Run(ctx context.Context, connection *Connection, sink Sink) error {
	for {
		err := r.relayConnection(connection, sink)
		if err == nil || isFinal(err) {
			return err
		}
		if connection, err = r.reconnect(ctx, err); err != nil {
			return err
		}
	}
}

// Open resumes the stream without an initial connection.
func (r *Relay) Open(ctx context.Context, sink Sink) error {
	connection, err := r.Source.Resume(ctx, r.After)
	if err != nil && !isFinal(err) {
		connection, err = r.reconnect(ctx, err)
	}
	if err != nil {
		return err
	}
	return r.Run(ctx, connection, sink)
}

func (r *Relay) reconnect(ctx context.Context, cause error) (*Connection, error) {
	for r.Source != nil && ctx.Err() == nil && r.MayReconnect(ctx, cause) {
		connection, err := r.Source.Resume(ctx, r.After)
		if err == nil {
			return connection, nil
		}
		if isFinal(err) {
			return nil, err
		}
		cause = err
	}
	return nil, cause
}

// relayConnection passes on the events of one connection. It returns nil only after the last event
// of the stream.
func (r *Relay) relayConnection(connection *Connection, sink Sink) error {
	defer connection.Body.Close()
	if connection.Stream != r.Stream {
		return &WrongStreamError{Expected: r.Stream, Found: connection.Stream}
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
		if err := r.sendEvent(event, reader.HasBuffered(), sink); err != nil {
			return err
		}
		if r.finished {
			return nil
		}
	}
}

// sendEvent checks the order of an event before it is passed on. Otherwise an engine that loses or
// repeats an event when it resumes would leave the caller with missing or duplicated text, which it
// can't detect.
func (r *Relay) sendEvent(event Event, more bool, sink Sink) error {
	if event.ID == 0 && event.Data == nil {
		return sinkError(sink.Event(event, more))
	}
	if event.ID != r.After+1 {
		return &OrderError{Expected: r.After + 1, Found: event.ID}
	}
	if err := sink.Event(event, more); err != nil {
		return sinkError(err)
	}
	r.After = event.ID
	r.finished = event.IsLast()
	return nil
}

func sinkError(err error) error {
	if err == nil {
		return nil
	}
	return &SinkError{Cause: err}
}

func isFinal(err error) bool {
	var (
		sink        *SinkError
		order       *OrderError
		wrongStream *WrongStreamError
		invalidID   *InvalidIDError
		tooLarge    *TooLargeError
		gone        *GoneError
	)
	return errors.As(err, &sink) || errors.As(err, &order) || errors.As(err, &wrongStream) ||
		errors.As(err, &invalidID) || errors.As(err, &tooLarge) || errors.As(err, &gone)
}
