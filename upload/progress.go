package upload

import "bytes"

var headerEnd = []byte("\r\n\r\n")

// Progress counts the bytes of an HTTP/1.1 request and detects the end of its header. Its zero value is that of a request
// of which nothing was written.
type Progress struct {
	// Written counts all bytes, and Body those after the header.
	Written, Body int64
	// HeaderSent is true once the whole header was written.
	HeaderSent bool
	// tail is the last bytes of an incomplete header, which may be part of headerEnd.
	tail string
}

// Add returns the progress after further bytes.
func (p Progress) Add(b []byte) Progress {
	p.Written += int64(len(b))
	if p.HeaderSent {
		p.Body += int64(len(b))
		return p
	}
	seen := b
	if p.tail != "" {
		seen = append([]byte(p.tail), b...)
	}
	end := bytes.Index(seen, headerEnd)
	if end >= 0 {
		return Progress{Written: p.Written, Body: int64(len(seen) - end - len(headerEnd)), HeaderSent: true}
	}
	p.tail = string(seen[max(0, len(seen)-len(headerEnd)+1):])
	return p
}
