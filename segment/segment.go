// Package segment keeps long texts in pieces, so that reading one takes no more memory than what has arrived of it.
package segment

import (
	"errors"
	"io"
)

const (
	// firstSize is the size in bytes of the first segment of a text of unknown length. Each further one is twice as
	// long as the one before, up to maxSize.
	firstSize = 2 << 10
	maxSize   = 64 << 10
	// wholeSize is the length in bytes up to which a text of known length gets one segment at once.
	wholeSize = 4 << 10
)

// List is a text in segments. Its zero value is empty.
type List [][]byte

// Of returns a text of one segment.
func Of(text []byte) List {
	if len(text) == 0 {
		return nil
	}
	return List{text}
}

// Len returns the length in bytes.
func (l List) Len() int {
	total := 0
	for _, s := range l {
		total += len(s)
	}
	return total
}

// Join returns the text in one piece.
func (l List) Join() []byte {
	if len(l) == 1 {
		return l[0]
	}
	return l.AppendTo(make([]byte, 0, l.Len()))
}

// AppendTo appends the text to data.
func (l List) AppendTo(data []byte) []byte {
	for _, s := range l {
		data = append(data, s...)
	}
	return data
}

// WriteTo writes the text.
func (l List) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for _, s := range l {
		n, err := w.Write(s)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Reader reads a text into segments. Its zero value reads without limits.
type Reader struct {
	// Take is called before memory is allocated, with the bytes, unless it is nil. Its error ends the reading.
	Take func(bytes int64) error
	// OnRead is called after each read, with the length of the text so far, unless it is nil. Its error ends the reading.
	OnRead func(total int64) error
}

// ReadAll reads a text of the given length, to its end if the length is negative. What was read is returned with
// an error, too. A text that ends early is io.ErrUnexpectedEOF.
func (r Reader) ReadAll(from io.Reader, length int64) (List, error) {
	var (
		list  List
		total int64
		size  = int64(firstSize)
	)
	if length >= 0 && length <= wholeSize {
		size = length
	}
	for length < 0 || total < length {
		if length >= 0 {
			size = min(size, length-total)
		}
		segment, err := r.readSegment(from, size, total)
		if len(segment) > 0 {
			list = append(list, segment)
			total += int64(len(segment))
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return list, err
		case length >= 0 && total < length:
			return list, io.ErrUnexpectedEOF
		default:
			return list, nil
		}
		size = min(2*size, maxSize)
	}
	return list, nil
}

// readSegment reads until a new segment is full. total is the length of the text before it.
func (r Reader) readSegment(from io.Reader, size, total int64) ([]byte, error) {
	if r.Take != nil {
		if err := r.Take(size); err != nil {
			return nil, err
		}
	}
	segment := make([]byte, 0, size)
	for len(segment) < cap(segment) {
		n, err := from.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		if n > 0 && r.OnRead != nil {
			if stop := r.OnRead(total + int64(len(segment))); stop != nil {
				return segment, stop
			}
		}
		if err != nil {
			return segment, err
		}
	}
	return segment, nil
}
