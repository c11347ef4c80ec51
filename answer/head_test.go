package answer_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/answer"
)

// readHead parses and checks the head of an answer as clients do.
func readHead(head string) error {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\n")), nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	return answer.CheckHead(r)
}

// Guards against answers that callers get though they aren't ones in HTTP, or with a body that isn't theirs.
func TestHeadsThatAreNotOnesInHTTP(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		"HTTP/1.1 000 Odd", "HTTP/1.1 000", "HTTP/1.1 099 Odd", "HTTP/1.1 001 Odd", "HTTP/1.1 +20 Odd", "HTTP/1.1 -20 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 2000 Odd",
		"HTTP/1.1 200 OK\r\nX Odd: 1", "HTTP/1.1 200 OK\r\nX-Odd : 1", "HTTP/1.1 200 OK\r\n X-Odd: 1", "HTTP/1.1 200 OK\r\nX\tOdd: 1",
		"HTTP/1.1 200 OK\r\nX-Odd\t: 1", "HTTP/1.1 200 OK\r\nX\x01Odd: 1", "HTTP/1.1 200 OK\r\nX\x7fOdd: 1", "HTTP/1.1 200 OK\r\nX\x80Odd: 1",
		"HTTP/1.1 200 OK\r\nContent-Length : 5", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", "HTTP/1.1 200 OK\r\n: 1", "HTTP/1.1 200 OK\r\nX(Odd): 1",
		"HTTP/1.1 200 OK\r\nX-Odd", "HTTP/1.1 200 OK\r\nX-Odd: a\x00b",
	} {
		require.Error(t, readHead(head), "%q", head)
	}
	for _, head := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 200", "HTTP/1.1 599 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 200 OK\r\nX-!#$%&'*+.^_`|~9: a b"} {
		require.NoError(t, readHead(head), "%q", head)
	}
}
