package relay

import (
	"net/http"
	"strings"
)

// appendHead appends the head of a request as the caller sent it, with Connection: close. Only the
// order of the fields and the case of their names differ, as the server that has read them keeps
// neither.
func appendHead(out []byte, r *http.Request) []byte {
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.RequestURI...)
	out = append(out, ' ')
	out = append(out, r.Proto...)
	out = append(out, "\r\n"...)
	out = appendField(out, "Host", r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			out = appendField(out, name, value)
		}
	}
	// The server removes these two from the header.
	if len(r.TransferEncoding) > 0 {
		out = appendField(out, "Transfer-Encoding", strings.Join(r.TransferEncoding, ", "))
	}
	for name := range r.Trailer {
		out = appendField(out, "Trailer", name)
	}
	// A Connection field of the caller has to stay, as it names the fields that aren't forwarded.
	out = appendField(out, "Connection", "close")
	return append(out, "\r\n"...)
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
