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
	// MaxInline is the largest body that is kept in the row itself, in bytes.
	MaxInline = 4 << 10
	// MaxKept is the largest body that is kept at all, in bytes.
	MaxKept = 1 << 20
	// objectDigits bounds the number of objects to 16^5, because the object
	// store removes nothing: an old answer's object is overwritten in time, and
	// a hash in the row tells that it was.
	objectDigits = 5
)

// keptFields are the header fields that are kept with an answer. The others
// concern one connection or one moment.
var keptFields = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Link", "Retry-After",
}

var errTooLarge = eris.New("answer is too large to be kept")

func (s *Store) keep(ctx context.Context, c *Claim, answer Answer) (*schema.KeptAnswer, error) {
	kept := &schema.KeptAnswer{Status: uint32(answer.Status), Header: keptHeader(answer.Header)}
	if len(answer.Body) <= MaxInline {
		kept.Body = answer.Body
		return kept, nil
	}
	if len(answer.Body) > MaxKept || s.Objects == nil {
		return nil, errTooLarge
	}
	sum := sha256.Sum256(answer.Body)
	kept.BodySha256 = sum[:]
	kept.Object = "answers/" + strings.TrimPrefix(string(c.key), string(Prefix))[:objectDigits]
	return kept, s.Objects.Put(ctx, kept.GetObject(), answer.Body)
}

func keptHeader(header map[string][]string) []*schema.KeptField {
	var fields []*schema.KeptField
	for _, name := range keptFields {
		if values := header[name]; len(values) > 0 {
			fields = append(fields, &schema.KeptField{Name: name, Values: slices.Clone(values)})
		}
	}
	return fields
}

// kept returns the answer of a row in state done.
func (s *Store) kept(ctx context.Context, kept *schema.KeptAnswer) (*Answer, error) {
	answer := &Answer{Status: int(kept.GetStatus()), Header: map[string][]string{}, Body: kept.GetBody()}
	for _, field := range kept.GetHeader() {
		answer.Header[field.GetName()] = field.GetValues()
	}
	if kept.GetObject() == "" {
		return answer, nil
	}
	body, err := s.object(ctx, kept)
	if err != nil {
		return nil, err
	}
	answer.Body = body
	return answer, nil
}

func (s *Store) object(ctx context.Context, kept *schema.KeptAnswer) ([]byte, error) {
	lost := &refusal.Error{
		Reason: refusal.OutcomeLost, Outcome: refusal.Run,
		Detail: "The request with this idempotency key was run; its answer is no longer kept.",
	}
	if s.Objects == nil {
		return nil, lost
	}
	body, err := s.Objects.Get(ctx, kept.GetObject())
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil, lost
	}
	if err != nil {
		return nil, &refusal.Error{
			Reason: refusal.ClaimsUnavailable, Outcome: refusal.Run, RetryAfter: retryAfterOutage, Cause: err,
			Detail: "The request with this idempotency key was run; its answer can't be read now.",
		}
	}
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], kept.GetBodySha256()) {
		return nil, lost
	}
	return body, nil
}
