// Package answer checks what net/http accepts of the head of an answer though HTTP/1.1 doesn't allow it.
package answer

import (
	"fmt"
	"net/http"
	"strings"
)

// InvalidHeadError reports a head that isn't one of HTTP/1.1. How long the body is isn't known.
type InvalidHeadError struct {
	// Field is the name of an invalid field.
	Field string
}

// Error states what is invalid.
func (e *InvalidHeadError) Error() string {
	return fmt.Sprintf("answer with an invalid field name %q", e.Field)
}

// CheckHead returns *InvalidHeadError if a field name of an answer holds a blank. net/http returns such a field under a name of its own, so that a Content-Length or Transfer-Encoding with a blank before the colon
// isn't obeyed.
func CheckHead(r *http.Response) error {
	for name := range r.Header {
		if strings.ContainsRune(name, ' ') {
			return &InvalidHeadError{Field: name}
		}
	}
	return nil
}
