package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/fleet"
)

// Fingerprint stands for all requests that are alike: of the same account, with the same
// method, host, path and body. Zero stands for none.
type Fingerprint uint64

// String returns the fingerprint as the log shows it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// MarshalText makes it a text in logs of JSON, whose readers round large numbers.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// Request is what a Fingerprint is made from.
type Request struct {
	Account fleet.AccountID
	Method  string
	Host    string
	// URI is the path with its query.
	URI  string
	Body []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	digest := xxhash.New()
	for _, field := range []string{string(r.Account), r.Method, r.Host, r.URI} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0}) // keeps the ends of fields apart
	}
	_, _ = digest.Write(r.Body)
	return Fingerprint(max(digest.Sum64(), 1))
}
