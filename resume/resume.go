// Package resume issues and verifies the tokens with which a caller resumes a
// broken stream at any router.
//
// Routers keep no state of streams: the token contains the account, the upstream
// and the stream, and is authenticated by a MAC with a key that all routers derive
// from the fleet key. A token is valid only for callers of the account in it. The
// offset is not part of it; the caller sends the id of the last event that it
// received.
package resume

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// formatVersion is the first byte of a token. It changes with the format.
	formatVersion = 1
	// macSize is the length of the truncated MAC in bytes: 128 bits, as many as the
	// stream's id has.
	macSize = 16
	// keyInfo separates this key from others that are derived from the fleet key.
	keyInfo = "nutmeglock resume token 1"
	// MaxTokenLength bounds the length of an encoded token, in bytes.
	MaxTokenLength = 1024
)

// Issuer issues and opens tokens. It is created by New and safe for concurrent use.
type Issuer struct{ key []byte }

// New returns an Issuer for a fleet. It fails if the key can't be derived.
func New(fleetKey string) (*Issuer, error) {
	key, err := hkdf.Key(sha256.New, []byte(fleetKey), nil, keyInfo, sha256.Size)
	if err != nil {
		return nil, eris.Wrap(err, "derive the key of resume tokens")
	}
	return &Issuer{key: key}, nil
}

// Issue returns an encoded token. It fails if the token can't be encoded.
func (i *Issuer) Issue(token *schema.ResumeToken) (string, error) {
	payload, err := proto.Marshal(token)
	if err != nil {
		return "", eris.Wrap(err, "encode resume token")
	}
	body := append([]byte{formatVersion}, payload...)
	return base64.RawURLEncoding.EncodeToString(append(body, i.mac(body)...)), nil
}

// Open decodes and verifies a token that a caller of account sent. It fails with
// *refusal.Error: bad-resume-token if the token was not issued by this fleet or is for
// another account, which a caller can't distinguish, and resume-expired.
func (i *Issuer) Open(text, account string, now time.Time) (*schema.ResumeToken, error) {
	invalid := &refusal.Error{Reason: refusal.BadResumeToken, Outcome: refusal.NotRun, Detail: "The resume token is not valid."}
	if len(text) > MaxTokenLength {
		return nil, invalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 1+macSize || raw[0] != formatVersion {
		return nil, invalid
	}
	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	token := &schema.ResumeToken{}
	if !hmac.Equal(mac, i.mac(body)) || proto.Unmarshal(body[1:], token) != nil || token.GetAccount() != account {
		return nil, invalid
	}
	if now.UnixMilli() >= token.GetExpiresUnixMs() {
		return nil, &refusal.Error{
			Reason: refusal.ResumeExpired, Outcome: refusal.Run,
			Detail: "The stream can no longer be resumed.",
		}
	}
	return token, nil
}

func (i *Issuer) mac(body []byte) []byte {
	hash := hmac.New(sha256.New, i.key)
	_, _ = hash.Write(body)
	return hash.Sum(nil)[:macSize]
}
