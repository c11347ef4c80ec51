package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/prompt"
	"nutmeglock.example/nutmeglock/segment"
)

// Fingerprint identifies equal requests: those with the same account, method, host, path
// and query, and body. Zero means none.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as it appears in the log.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// MarshalText makes JSON logs show the fingerprint as text, since readers of JSON round
// large numbers.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// Request holds the fields that make up a Fingerprint.
type Request struct {
	Account fleet.AccountID
	Method  string
	Host    string
	// URI is the path with its query.
	URI  string
	Body segment.List
}

// Subject is what the quarantine recognises a request by.
type Subject struct {
	Service fleet.ServiceID
	Request Fingerprint
	Parts   prompt.Parts
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	digest := xxhash.New()
	for _, field := range []string{string(r.Account), r.Method, r.Host, r.URI} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0}) // separates the fields
	}
	_, _ = r.Body.WriteTo(digest)
	return Fingerprint(max(digest.Sum64(), 1))
}
