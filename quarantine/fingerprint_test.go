package quarantine_test

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/segment"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	t.Parallel()
	base := quarantine.Request{Account: "ada", Method: "POST", Host: "h", URI: "/a/1", Body: segment.Of([]byte("b"))}
	cases := []struct {
		name   string
		change func(*quarantine.Request)
		same   bool
	}{
		{"the same request", func(*quarantine.Request) {}, true},
		{"another account", func(r *quarantine.Request) { r.Account = "bob" }, false},
		{"another method", func(r *quarantine.Request) { r.Method = "PUT" }, false},
		{"another host", func(r *quarantine.Request) { r.Host = "g" }, false},
		{"another path", func(r *quarantine.Request) { r.URI = "/a/2" }, false},
		{"another body", func(r *quarantine.Request) { r.Body = segment.Of([]byte("c")) }, false},
		{"a byte moved to the next field", func(r *quarantine.Request) { r.Host = "h/"; r.URI = "a/1" }, false},
	}
	for _, c := range cases {
		changed := base
		c.change(&changed)
		require.Equal(t, c.same, quarantine.FingerprintOf(base) == quarantine.FingerprintOf(changed), c.name)
	}
}

// Guards against log lines that show different fingerprints for one request because
// readers of JSON rounded the number.
func TestFingerprintIsATextInTheLog(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	slog.New(slog.NewJSONHandler(&out, nil)).Info("line", "fingerprint", quarantine.Fingerprint(0xf81f9b3c4d5e6f71))
	require.Contains(t, out.String(), `"fingerprint":"f81f9b3c4d5e6f71"`)
}
