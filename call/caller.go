package call

import (
	"net/http"
	"time"
)

// callerStall is for how long a caller may take no bytes: a mobile network's
// gap, short against an answer.
const callerStall = 30 * time.Second

// boundedWriter writes to a caller that may stop reading.
//
// Such a caller keeps its connection open, and a write to it blocks once the
// buffers are full, whatever the request's context says. It would hold a slot
// of an upstream for as long as it likes; a few hundred of them would stop a
// service. Here each write has to end within callerStall and by the request's
// deadline.
type boundedWriter struct {
	http.ResponseWriter
	control  *http.ResponseController
	deadline time.Time
}

func bound(w http.ResponseWriter, deadline time.Time) *boundedWriter {
	return &boundedWriter{ResponseWriter: w, control: http.NewResponseController(w), deadline: deadline}
}

// Write writes to the caller. The flush that follows has the same bound.
func (b *boundedWriter) Write(p []byte) (int, error) {
	end := time.Now().Add(callerStall)
	if b.deadline.Before(end) {
		end = b.deadline
	}
	_ = b.control.SetWriteDeadline(end)
	return b.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController reach the connection.
func (b *boundedWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }
