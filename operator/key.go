package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/schema"
)

// keyring finds the operator that a key belongs to.
type keyring []keyOwner

type keyOwner struct {
	name string
	hash []byte
}

func newKeyring(keys []*schema.OperatorKey) keyring {
	ring := make(keyring, 0, len(keys))
	for _, key := range keys {
		hash, err := hex.DecodeString(key.GetKeySha256())
		if err != nil || len(hash) != sha256.Size {
			continue // The settings' check refuses such a key.
		}
		ring = append(ring, keyOwner{key.GetName(), hash})
	}
	return ring
}

// owner returns the operator of a key, or nothing. Its time does not depend on
// how much of a hash agrees, nor on which key is found: a caller who could time
// it would find out a key's hash piece by piece.
func (r keyring) owner(key string) string {
	presented := sha256.Sum256([]byte(key))
	name := ""
	for _, k := range r {
		if subtle.ConstantTimeCompare(presented[:], k.hash) == 1 {
			name = k.name
		}
	}
	return name
}

const (
	bearer    = "Bearer "
	authorKey = "author"
)

// authenticate lets a request pass when it presents an operator key, whose
// owner is the author of what it does.
func (a *api) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Request().Header.Get(echo.HeaderAuthorization)
		key, ok := strings.CutPrefix(header, bearer)
		name := a.keys.owner(key)
		if !ok || name == "" {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, strings.TrimSpace(bearer))
			return &failure{http.StatusUnauthorized, &schema.OperatorError{
				Reason: string(Denied), Message: "present an operator key that the router's settings list, as Authorization: Bearer KEY",
			}}
		}
		c.Set(authorKey, name)
		return next(c)
	}
}

func author(c echo.Context) string {
	name, _ := c.Get(authorKey).(string)
	return name
}
