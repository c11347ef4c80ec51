package upload_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/upload"
)

// Guards against an end of the header, or bytes of the body, that are missed because of how the request is cut into writes.
func TestProgressIsTheSameForEachWayToWriteARequest(t *testing.T) {
	t.Parallel()
	const header, body = "POST / HTTP/1.1\r\nHost: a\r\n\r\n", "\r\n\r\nbody"
	whole := header + body
	for first := range len(whole) + 1 {
		for second := first; second <= len(whole); second++ {
			var p upload.Progress
			for _, part := range []string{whole[:first], whole[first:second], whole[second:]} {
				p = p.Add([]byte(part))
			}
			require.Equal(t, upload.Progress{Written: int64(len(whole)), Body: int64(len(body)), HeaderSent: true}, p)
		}
	}
}

func TestProgressWithinTheHeader(t *testing.T) {
	t.Parallel()
	var p upload.Progress
	for _, b := range []byte(strings.Repeat("\r\n\r", 3)) {
		p = p.Add([]byte{b})
		require.False(t, p.HeaderSent)
	}
	require.Equal(t, int64(9), p.Written)
	require.Zero(t, p.Body)
}
