package claim

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/store"
)

const (
	// MaxInlineBody is the largest body that is stored in the row itself, in bytes.
	MaxInlineBody = 4 << 10
	// MaxStoredBody is the largest body that is stored at all, in bytes.
	MaxStoredBody = 1 << 20
	// objectDigits is the number of hex digits in an object's name. It limits the
	// objects to 16^5, because the object store never deletes any. Old answers get
	// overwritten, which the body's hash in the row detects.
	objectDigits = 5
)

// storedFields are the header fields that are stored with an answer. The others
// apply only to one connection or point in time.
var storedFields = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Link", "Retry-After",
}

var errTooLarge = eris.New("answer is too large to store")

// storeAnswer stores a large body as an object and returns the answer for the row.
func (s *Store) storeAnswer(ctx context.Context, c *Claim, answer Answer) (*schema.KeptAnswer, error) {
	stored := &schema.KeptAnswer{Status: uint32(answer.Status), Header: storedHeader(answer.Header)}
	if len(answer.Body) <= MaxInlineBody {
		stored.Body = answer.Body
		return stored, nil
	}
	if len(answer.Body) > MaxStoredBody || s.Objects == nil {
		return nil, errTooLarge
	}
	sum := sha256.Sum256(answer.Body)
	stored.BodySha256 = sum[:]
	stored.Object = "answers/" + strings.TrimPrefix(string(c.key), string(Prefix))[:objectDigits]
	return stored, s.Objects.Put(ctx, stored.GetObject(), answer.Body)
}

func storedHeader(header map[string][]string) []*schema.KeptField {
	var fields []*schema.KeptField
	for _, name := range storedFields {
		if values := header[name]; len(values) > 0 {
			fields = append(fields, &schema.KeptField{Name: name, Values: slices.Clone(values)})
		}
	}
	return fields
}

// loadAnswer returns the answer of a row in state done, with its body.
func (s *Store) loadAnswer(ctx context.Context, stored *schema.KeptAnswer) (*Answer, error) {
	answer := &Answer{Status: int(stored.GetStatus()), Header: map[string][]string{}, Body: stored.GetBody()}
	for _, field := range stored.GetHeader() {
		answer.Header[field.GetName()] = field.GetValues()
	}
	if stored.GetObject() == "" {
		return answer, nil
	}
	body, err := s.loadBody(ctx, stored)
	if err != nil {
		return nil, err
	}
	answer.Body = body
	return answer, nil
}

// loadBody reads a body from the object store and checks its hash.
func (s *Store) loadBody(ctx context.Context, stored *schema.KeptAnswer) ([]byte, error) {
	lost := &refusal.Error{
		Reason: refusal.OutcomeLost, Outcome: refusal.Run,
		Detail: "The request with this idempotency key was run; its answer is no longer kept.",
	}
	if s.Objects == nil {
		return nil, lost
	}
	body, err := s.Objects.Get(ctx, stored.GetObject())
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return nil, lost
	}
	if err != nil {
		return nil, &refusal.Error{
			Reason: refusal.ClaimsUnavailable, Outcome: refusal.Run, RetryAfter: retryAfterOutage, Cause: err,
			Detail: "The request with this idempotency key was run; its answer can't be read now.",
		}
	}
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], stored.GetBodySha256()) {
		return nil, lost
	}
	return body, nil
}
