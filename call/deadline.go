package call

import (
	"net/http"
	"time"
)

// callerWriteTimeout bounds one write to a caller. It covers a gap in a mobile
// network and is short compared with an answer.
const callerWriteTimeout = 30 * time.Second

// deadlineWriter bounds each write to a caller by callerWriteTimeout and the
// request's deadline.
//
// If a caller stops reading but keeps its connection open, writes block once the
// buffers are full, even after the request's context has ended. The request would
// hold its upstream slot without limit; a few hundred such callers would block a
// service.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	deadline   time.Time
}

func newDeadlineWriter(w http.ResponseWriter, deadline time.Time) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), deadline: deadline}
}

// Write writes to the caller. The flush that follows has the same deadline.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	deadline := time.Now().Add(callerWriteTimeout)
	if d.deadline.Before(deadline) {
		deadline = d.deadline
	}
	_ = d.controller.SetWriteDeadline(deadline)
	return d.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController reach the connection.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }
