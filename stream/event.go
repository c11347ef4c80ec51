// Package stream reads a model engine's streamed answer event by event and
// joins it again where a connection broke off.
//
// An event is passed on only when it has arrived whole, ids rise by one, and
// what is read from a second connection has to name the same stream and begin
// with the very next id. So nothing is lost, doubled or taken from another
// stream; where that can't be had, Relay fails instead of guessing.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxEvent bounds one event, in bytes. A token is a few bytes, its JSON a few
// hundred; an engine that sends more is at fault.
const MaxEvent = 256 << 10

// EventID orders the events of one stream, from 1 upward.
type EventID uint64

// Event is one server-sent event.
type Event struct {
	// ID is zero for a comment or an event without an id.
	ID EventID
	// Raw is the event as it arrived, with the blank line that ends it. It is
	// valid until the next read.
	Raw []byte
	// Data is the value of its data field, the lines joined by newlines.
	Data []byte
}

// Last reports whether the event ends a chat completion.
func (e Event) Last() bool { return bytes.Equal(e.Data, []byte("[DONE]")) }

// Reader reads events.
type Reader struct {
	in  *bufio.Reader
	raw []byte
}

// NewReader returns a Reader of an answer's body.
func NewReader(body io.Reader) *Reader { return &Reader{in: bufio.NewReader(body)} }

// ErrPartial is the error of a stream that ended within an event.
var ErrPartial = eris.New("stream ended within an event")

// TooLargeError is the error of an event over MaxEvent.
type TooLargeError struct{ Size int }

// Error names the size.
func (e *TooLargeError) Error() string { return fmt.Sprintf("event of more than %d bytes", e.Size) }

// Next returns the next whole event. It fails with io.EOF at the end between
// events, ErrPartial at an end within one, *TooLargeError, or the error of the
// body. The bytes of an event that is not whole are never returned.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			return Event{}, err
		}
		blank := len(bytes.TrimRight(r.raw[start:], "\r\n")) == 0
		if blank && start > 0 {
			return parse(r.raw)
		}
	}
}

// More reports whether another whole event is in the buffer, so that what is
// written need not be flushed yet.
func (r *Reader) More() bool {
	waiting, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n")))
}

// line appends the next line with its end to raw.
func (r *Reader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case len(r.raw) > MaxEvent:
			return &TooLargeError{Size: MaxEvent}
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return ErrPartial
		default:
			return err
		}
	}
}

func parse(raw []byte) (Event, error) {
	event := Event{Raw: raw}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id, err := strconv.ParseUint(string(value), 10, 64)
			if err != nil || id == 0 {
				return Event{}, &IDError{Found: string(value)}
			}
			event.ID = EventID(id)
		case "data":
			event.Data = join(event.Data, value)
		}
	}
	return event, nil
}

// join keeps the usual event of one data line free of a copy.
func join(data, value []byte) []byte {
	if data == nil {
		return value
	}
	joined := append(append(make([]byte, 0, len(data)+1+len(value)), data...), '\n')
	return append(joined, value...)
}

// IDError is the error of an event whose id is no number from 1 upward.
type IDError struct{ Found string }

// Error quotes the id.
func (e *IDError) Error() string {
	return fmt.Sprintf("event id %q is no number from 1 upward", e.Found)
}

// OrderError is the error of an event that does not follow the one before.
type OrderError struct{ Expected, Found EventID }

// Error names both ids.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %d arrived where %d was due", e.Found, e.Expected)
}
