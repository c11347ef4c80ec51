package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/quarantine"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	t.Parallel()
	base := quarantine.Request{Account: "ada", Method: "POST", Host: "h", URI: "/a/1", Body: []byte("b")}
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
		{"another body", func(r *quarantine.Request) { r.Body = []byte("c") }, false},
		{"a byte that moved to the next field", func(r *quarantine.Request) { r.Host = "h/"; r.URI = "a/1" }, false},
	}
	for _, c := range cases {
		changed := base
		c.change(&changed)
		require.Equal(t, c.same, quarantine.FingerprintOf(base) == quarantine.FingerprintOf(changed), c.name)
	}
}
