package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLine bounds one line. A record has some 300 bytes.
const maxLine = 64 << 10

// LineError says which line of a trace can't be read, and why.
type LineError struct {
	// Line counts from 1.
	Line  int
	Cause error
}

// Error returns the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// errNoHeader is the cause when a trace is empty.
var errNoHeader = errors.New("the trace is empty; its first line has to be a header")

// Reader reads a trace. It stops at the first line that is wrong: a trace with
// a hole in it that nobody noticed would replay as a lighter load.
type Reader struct {
	lines  *bufio.Scanner
	line   int
	header Header
	lost   int
}

// lostLine stands where the recorder lost records.
type lostLine struct {
	Lost int `json:"lost"`
}

// NewReader reads the header. It fails with a *LineError.
func NewReader(r io.Reader) (*Reader, error) {
	reader := &Reader{lines: bufio.NewScanner(r)}
	reader.lines.Buffer(make([]byte, 0, maxLine), maxLine)
	line, err := reader.next()
	if errors.Is(err, io.EOF) {
		return nil, &LineError{1, errNoHeader}
	}
	if err != nil {
		return nil, err
	}
	if err := decode(line, &reader.header); err != nil {
		return nil, &LineError{reader.line, err}
	}
	if err := reader.header.check(); err != nil {
		return nil, &LineError{reader.line, err}
	}
	return reader, nil
}

// Header returns the header.
func (r *Reader) Header() Header { return r.header }

// Lost returns how many records the recorder had to drop, as far as read.
func (r *Reader) Lost() int { return r.lost }

// Next returns the next record, io.EOF at the end, or a *LineError.
func (r *Reader) Next() (Record, error) {
	for {
		line, err := r.next()
		if err != nil {
			return Record{}, err
		}
		if bytes.HasPrefix(line, []byte(`{"lost":`)) {
			var lost lostLine
			if err := decode(line, &lost); err != nil {
				return Record{}, &LineError{r.line, err}
			}
			r.lost += max(lost.Lost, 0)
			continue
		}
		var record Record
		if err := decode(line, &record); err != nil {
			return Record{}, &LineError{r.line, err}
		}
		if err := record.Check(); err != nil {
			return Record{}, &LineError{r.line, err}
		}
		return record, nil
	}
}

// next returns the next line that is not empty.
func (r *Reader) next() ([]byte, error) {
	for r.lines.Scan() {
		r.line++
		if line := bytes.TrimSpace(r.lines.Bytes()); len(line) > 0 {
			return line, nil
		}
	}
	if err := r.lines.Err(); err != nil {
		return nil, &LineError{r.line + 1, err}
	}
	return nil, io.EOF
}

// decode reads one JSON value and refuses fields that the format does not have.
func decode(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value on the line")
	}
	return nil
}

// ReadAll reads a whole trace.
func ReadAll(r io.Reader) (Header, []Record, error) {
	reader, err := NewReader(r)
	if err != nil {
		return Header{}, nil, err
	}
	var records []Record
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return reader.Header(), records, nil
		}
		if err != nil {
			return Header{}, nil, err
		}
		records = append(records, record)
	}
}
