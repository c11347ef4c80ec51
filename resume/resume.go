// Package resume makes and reads the tokens with which a caller takes up a
// broken stream at any router.
//
// No router remembers a stream: the token names the account, the upstream and
// the stream, and a MAC under a key that all routers derive from the fleet key
// proves that a router wrote it. A token alone opens nothing, because the
// caller has to be of the account that it names. The offset is not part of it;
// the caller says which event it has seen last.
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
	// format is the first byte of a token; another format gets another.
	format = 1
	// macSize is the part of the MAC that is kept: 128 bits, as much as the
	// stream's id has.
	macSize = 16
	// keyInfo keeps this key apart from others derived from the fleet key.
	keyInfo = "nutmeglock resume token 1"
	// MaxToken bounds what is decoded, in bytes of text.
	MaxToken = 1024
)

// Issuer issues and opens tokens. Create it with New. It is safe for
// concurrent use.
type Issuer struct{ key []byte }

// New returns an Issuer for a fleet. It fails when no key can be derived.
func New(fleetKey string) (*Issuer, error) {
	key, err := hkdf.Key(sha256.New, []byte(fleetKey), nil, keyInfo, sha256.Size)
	if err != nil {
		return nil, eris.Wrap(err, "derive the key of resume tokens")
	}
	return &Issuer{key: key}, nil
}

// Issue returns the text of a token. It fails when the token can't be encoded.
func (i *Issuer) Issue(token *schema.ResumeToken) (string, error) {
	payload, err := proto.Marshal(token)
	if err != nil {
		return "", eris.Wrap(err, "encode resume token")
	}
	body := append([]byte{format}, payload...)
	return base64.RawURLEncoding.EncodeToString(append(body, i.mac(body)...)), nil
}

// Open returns the token in a text that account presents at now. It fails with
// *refusal.Error: bad-resume-token when it is no token of this fleet or names
// another account, which look the same to a caller, and resume-expired.
func (i *Issuer) Open(text, account string, now time.Time) (*schema.ResumeToken, error) {
	bad := &refusal.Error{Reason: refusal.BadResumeToken, Outcome: refusal.NotRun, Detail: "The resume token is not valid."}
	if len(text) > MaxToken {
		return nil, bad
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 1+macSize || raw[0] != format {
		return nil, bad
	}
	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	token := &schema.ResumeToken{}
	if !hmac.Equal(mac, i.mac(body)) || proto.Unmarshal(body[1:], token) != nil || token.GetAccount() != account {
		return nil, bad
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
