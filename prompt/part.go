// Package prompt identifies the parts of a prompt that requests share.
package prompt

import (
	"log/slog"
	"strconv"
	"strings"
)

// maxLoggedParts bounds the parts of one prompt that are logged.
const maxLoggedParts = 16

// Part identifies a part of a prompt, whatever its position and the rest of the prompt.
type Part uint64

// String returns the part in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText returns the part in hexadecimal, since readers of JSON round large numbers.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Parts are the parts of a prompt in order, without the last one, which belongs to the request or its
// session alone.
type Parts []Part

var _ slog.LogValuer = Parts(nil)

// LogValue returns the first parts, separated by commas.
func (p Parts) LogValue() slog.Value {
	shown := p[:min(len(p), maxLoggedParts)]
	texts := make([]string, len(shown))
	for i, part := range shown {
		texts[i] = part.String()
	}
	return slog.StringValue(strings.Join(texts, ","))
}
