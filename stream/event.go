// Package stream reads a model engine's server-sent events and resumes a stream after its
// connection broke off.
//
// Only complete events are passed on, ids rise by one, and a further connection must name the same
// stream and begin with the next id. So no event is lost, duplicated or taken from another stream;
// where that can't be ensured, Relay fails.
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

// MaxEvent is the maximum size of an event in bytes. A token is a few bytes and its JSON a few
// hundred; a larger event is an engine's fault.
const MaxEvent = 256 << 10

// EventID is the number of an event in its stream, from 1.
type EventID uint64

// Event is one server-sent event.
type Event struct {
	// ID is zero for a comment or an event without an id.
	ID EventID
	// Raw is the event as it arrived, including the blank line that ends it. It is valid until the
	// next call of Next.
	Raw []byte
	// Data is the value of the data fields, joined by newlines.
	Data []byte
}

// IsLast reports whether the event is the end marker of a chat completion.
func (e Event) IsLast() bool { return bytes.Equal(e.Data, []byte("[DONE]")) }

// Reader parses a stream of server-sent events.
type Reader struct {
	in    *bufio.Reader
	event []byte
}

// NewReader returns a Reader of the body of an answer.
func NewReader(body io.Reader) *Reader { return &Reader{in: bufio.NewReader(body)} }

// ErrPartialEvent is the error of a stream that ends within an event.
var ErrPartialEvent = eris.New("stream ended within an event")

// TooLargeError is the error of an event larger than MaxEvent.
type TooLargeError struct{ Size int }

// Error states the maximum size.
func (e *TooLargeError) Error() string { return fmt.Sprintf("event of more than %d bytes", e.Size) }

// Next returns the next complete event. Its error is io.EOF at an end between events,
// ErrPartialEvent at an end within one, *TooLargeError, *InvalidIDError or the error of the body.
// The bytes of an incomplete event are never returned.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	for {
		start := len(r.event)
		if err := r.readLine(); err != nil {
			return Event{}, err
		}
		blank := len(bytes.TrimRight(r.event[start:], "\r\n")) == 0
		if blank && start > 0 {
			return parse(r.event)
		}
	}
}

// HasBuffered reports whether another complete event is buffered, so that output needn't be flushed
// yet.
func (r *Reader) HasBuffered() bool {
	buffered, err := r.in.Peek(r.in.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// readLine appends the next line, including its end, to the event.
func (r *Reader) readLine() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.event = append(r.event, part...)
		switch {
		case len(r.event) > MaxEvent:
			return &TooLargeError{Size: MaxEvent}
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return ErrPartialEvent
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
				return Event{}, &InvalidIDError{Found: string(value)}
			}
			event.ID = EventID(id)
		case "data":
			event.Data = appendLine(event.Data, value)
		}
	}
	return event, nil
}

// appendLine adds a line of data to an event. The usual single line is not copied.
func appendLine(data, value []byte) []byte {
	if data == nil {
		return value
	}
	joined := append(append(make([]byte, 0, len(data)+1+len(value)), data...), '\n')
	return append(joined, value...)
}

// InvalidIDError is the error of an event whose id is not a positive integer.
type InvalidIDError struct{ Found string }

// Error quotes the id.
func (e *InvalidIDError) Error() string {
	return fmt.Sprintf("event id %q is not a positive integer", e.Found)
}

// OrderError is the error of an event whose id doesn't follow the previous one.
type OrderError struct{ Expected, Found EventID }

// Error states both ids.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %d arrived where %d was expected", e.Found, e.Expected)
}
