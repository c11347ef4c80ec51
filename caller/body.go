package caller

import (
	"cmp"
	"io"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/segment"
)

const (
	// maxFraming is the number of bytes beside those of the body itself, as the sizes of chunks, that a body may take while
	// the process is short of processor time.
	maxFraming = 64 << 10
	// maxDrained is the length in bytes of an unread body up to which the connection of a refused request can be used
	// again, if the body comes within drainTime.
	maxDrained = 64 << 10
	drainTime  = 50 * time.Millisecond
	// lingerTime is how long a caller that still sends may take to read its refusal. Closing a connection
	// with unread data resets it, and the refusal could be lost.
	lingerTime = 500 * time.Millisecond
)

// BodyReader reads the bodies of requests. Its zero value has no limits but those of the connection's pool.
type BodyReader struct {
	// MaxBytes limits the length of a body; zero means none.
	MaxBytes int64
	// Deadline is the time by which the body must have come; zero means none.
	Deadline time.Time
	// IsOverloaded reports whether the process is short of processor time; it may be nil.
	IsOverloaded func() bool
}

// Read reads the body of a request. After an error, EndUnread has to be called before the request is answered.
//
// The error is *http.MaxBytesError, *budget.EvictedError, *budget.ExhaustedError, *FramingError or that of the connection.
func (b BodyReader) Read(w http.ResponseWriter, r *http.Request) (segment.List, error) {
	if hasNoBody(r) {
		return nil, nil
	}
	length := r.ContentLength
	if length == 0 {
		length = -1
	}
	var source io.Reader = r.Body
	if b.MaxBytes > 0 {
		if r.ContentLength > b.MaxBytes {
			return nil, &http.MaxBytesError{Limit: b.MaxBytes}
		}
		source = http.MaxBytesReader(w, r.Body, b.MaxBytes)
	}
	conn := FromContext(r.Context())
	lease := conn.Lease()
	if err := lease.Enter(time.Now(), budget.Body); err != nil {
		return nil, err
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(b.Deadline) // fails only for test writers, which have no deadlines
	before, taken := conn.Received(), int64(0)
	body, err := segment.Reader{
		Take: func(bytes int64) error {
			err := lease.Take(time.Now(), bytes)
			if err == nil {
				taken += bytes
			}
			return err
		},
		OnRead: func(total int64) error {
			return b.checkFraming(conn.Received()-before, total)
		},
	}.ReadAll(source, length)
	if err != nil {
		lease.Give(taken)
		return nil, cmp.Or(lease.Err(), err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, lease.Enter(time.Now(), budget.Serving)
}

func hasNoBody(r *http.Request) bool { return r.Body == nil || r.Body == http.NoBody }

func (b BodyReader) checkFraming(received, body int64) error {
	if received-body <= maxFraming || b.IsOverloaded == nil || !b.IsOverloaded() {
		return nil
	}
	return &FramingError{Bytes: received, Body: body}
}

// EndUnread bounds what becomes of a body that isn't read, before its request is answered: the server would wait
// for it without end. begun is set if a part was read.
func EndUnread(w http.ResponseWriter, r *http.Request, begun bool) {
	if hasNoBody(r) {
		return
	}
	now := time.Now()
	conn := FromContext(r.Context())
	conn.refuseBody()
	_ = conn.Lease().Enter(now, budget.Body) // evicted or not, it ends soon
	wait := drainTime
	if begun || r.ContentLength > maxDrained {
		w.Header().Set("Connection", "close")
		wait = lingerTime
	}
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(wait)) // fails only for test writers
}
