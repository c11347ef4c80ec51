package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes is the maximum length of a line. A record has about 300 bytes.
const maxLineBytes = 64 << 10

// LineError reports a line of a trace that can't be read.
type LineError struct {
	// Line counts from 1.
	Line  int
	Cause error
}

// Error returns the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// errEmptyTrace is the cause of the *LineError for an empty trace.
var errEmptyTrace = errors.New("the trace is empty; its first line has to be a header")

// Reader reads a trace. It fails at the first invalid line, because a trace
// with records silently skipped would replay as a lighter load.
type Reader struct {
	scanner    *bufio.Scanner
	lineNumber int
	header     Header
	dropped    int
}

// dropLine replaces records that the recorder dropped.
type dropLine struct {
	Count int `json:"lost"`
}

// NewReader reads the header and returns a Reader for the records. It fails with
// a *LineError.
func NewReader(r io.Reader) (*Reader, error) {
	reader := &Reader{scanner: bufio.NewScanner(r)}
	reader.scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	line, err := reader.nextLine()
	if errors.Is(err, io.EOF) {
		return nil, &LineError{1, errEmptyTrace}
	}
	if err != nil {
		return nil, err
	}
	if err := decode(line, &reader.header); err != nil {
		return nil, &LineError{reader.lineNumber, err}
	}
	if err := reader.header.validate(); err != nil {
		return nil, &LineError{reader.lineNumber, err}
	}
	return reader, nil
}

// Header returns the header.
func (r *Reader) Header() Header { return r.header }

// Dropped returns the number of dropped records reported by the lines read so far.
func (r *Reader) Dropped() int { return r.dropped }

// Next returns the next record, io.EOF at the end, or a *LineError.
func (r *Reader) Next() (Record, error) {
	for {
		line, err := r.nextLine()
		if err != nil {
			return Record{}, err
		}
		if bytes.HasPrefix(line, []byte(`{"lost":`)) {
			var drops dropLine
			if err := decode(line, &drops); err != nil {
				return Record{}, &LineError{r.lineNumber, err}
			}
			r.dropped += max(drops.Count, 0)
			continue
		}
		var record Record
		if err := decode(line, &record); err != nil {
			return Record{}, &LineError{r.lineNumber, err}
		}
		if err := record.Check(); err != nil {
			return Record{}, &LineError{r.lineNumber, err}
		}
		return record, nil
	}
}

// nextLine returns the next non-empty line, io.EOF at the end, or a *LineError.
func (r *Reader) nextLine() ([]byte, error) {
	for r.scanner.Scan() {
		r.lineNumber++
		if line := bytes.TrimSpace(r.scanner.Bytes()); len(line) > 0 {
			return line, nil
		}
	}
	if err := r.scanner.Err(); err != nil {
		return nil, &LineError{r.lineNumber + 1, err}
	}
	return nil, io.EOF
}

// decode decodes one JSON value and rejects unknown fields and trailing data.
func decode(line []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
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
