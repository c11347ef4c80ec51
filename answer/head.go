// Package answer checks what net/http accepts of the head of an answer though HTTP/1.1 doesn't allow it.
package answer

import (
	"fmt"
	"net/http"
	"strings"
)

// minStatus is the smallest status of HTTP.
const minStatus = 100

// InvalidHeadError reports a head that isn't one of HTTP/1.1. How long the body is, or whether one follows, isn't known.
type InvalidHeadError struct {
	// Status is the status code, and Field the name of an invalid field, if there is one.
	Status int
	Field  string
}

// Error states what is invalid.
func (e *InvalidHeadError) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("answer with an invalid field name %q", e.Field)
	}
	return fmt.Sprintf("answer with an invalid status %03d", e.Status)
}

// CheckHead returns *InvalidHeadError if the status of an answer is below 100, or a field name holds a blank. net/http
// returns such a field under a name of its own, so that a Content-Length or Transfer-Encoding with a blank before the colon
// isn't obeyed.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus {
		return &InvalidHeadError{Status: r.StatusCode}
	}
	for name := range r.Header {
		if strings.ContainsRune(name, ' ') {
			return &InvalidHeadError{Status: r.StatusCode, Field: name}
		}
	}
	return nil
}
