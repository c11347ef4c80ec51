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

// keyring maps keys to operators.
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
			continue // Parsing the settings rejects such a key.
		}
		ring = append(ring, keyOwner{key.GetName(), hash})
	}
	return ring
}

// owner returns the name of the operator with a key, or "". Its time depends
// neither on how much of a hash matches nor on which key does; otherwise a caller
// could determine a hash piece by piece by timing.
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
	bearerPrefix     = "Bearer "
	authorContextKey = "author"
)

// authenticate admits requests with an operator key. The operator that it
// belongs to is recorded as the author.
func (a *api) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Request().Header.Get(echo.HeaderAuthorization)
		key, ok := strings.CutPrefix(header, bearerPrefix)
		name := a.keys.owner(key)
		if !ok || name == "" {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, strings.TrimSpace(bearerPrefix))
			return &failure{http.StatusUnauthorized, &schema.OperatorError{
				Reason: string(Denied), Message: "present an operator key that the router's settings list, as Authorization: Bearer KEY",
			}}
		}
		c.Set(authorContextKey, name)
		return next(c)
	}
}

func author(c echo.Context) string {
	name, _ := c.Get(authorContextKey).(string)
	return name
}
