// Package relay carries requests that a router hands over to another one, and their answers.
//
// Each request has a TCP connection of its own. The sending router writes a preamble and waits for
// the helper's verdict of one byte, so that nothing of the request has been sent if the helper
// rejects the relay or doesn't respond. Then it writes the request as HTTP/1.1 and copies the
// answer to its caller unparsed. Both ends close the connection after the answer.
package relay

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/schema"
)

// maxPreamble bounds the size of a preamble, in bytes. One takes about sixty.
const maxPreamble = 512

// Preamble begins the connection of a relay.
type Preamble struct {
	Token handover.Token
	// Age is how long ago the request's head was read.
	Age time.Duration
	// Caller is the address of the caller, and Router the sending router.
	Caller string
	Router fleet.RouterID
}

// Verdict is a helper's answer to a preamble.
type Verdict byte

// The verdicts. Zero is none, so that a connection that ends without one isn't taken for accepted.
const (
	Accepted Verdict = iota + 1
	WrongToken
	Full
	Stopping
)

// String returns the verdict as a word.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case WrongToken:
		return "wrong-token"
	case Full:
		return "full"
	case Stopping:
		return "stopping"
	default:
		return fmt.Sprintf("verdict-%d", byte(v))
	}
}

// RejectedError reports a helper that rejected a relay. Nothing of the request was sent.
type RejectedError struct{ Verdict Verdict }

// Error returns a message with the verdict.
func (e *RejectedError) Error() string { return "relay rejected: " + e.Verdict.String() }

// MalformedPreambleError reports a connection that doesn't begin with a preamble.
type MalformedPreambleError struct{ Cause error }

// Error returns a message with the cause.
func (e *MalformedPreambleError) Error() string { return "malformed preamble: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedPreambleError) Unwrap() error { return e.Cause }

var errEarlyRequest = eris.New("more was sent before the verdict")

// NewToken returns a random token.
func NewToken() (handover.Token, error) {
	var token handover.Token
	_, err := rand.Read(token[:])
	return token, eris.Wrap(err, "generate token")
}

func writePreamble(w io.Writer, p Preamble) error {
	_, err := protodelim.MarshalTo(w, &schema.RelayPreamble{
		Token: p.Token[:], AgeMs: schema.Millis(p.Age), Caller: p.Caller, Router: string(p.Router),
	})
	return err
}

// readPreamble reads a preamble. The sender waits for the verdict after it, so that nothing that
// follows can be lost in the buffer.
func readPreamble(r io.Reader) (Preamble, error) {
	buffered := bufio.NewReaderSize(r, maxPreamble)
	var message schema.RelayPreamble
	if err := (protodelim.UnmarshalOptions{MaxSize: maxPreamble}).UnmarshalFrom(buffered, &message); err != nil {
		return Preamble{}, &MalformedPreambleError{Cause: err}
	}
	if buffered.Buffered() > 0 {
		return Preamble{}, &MalformedPreambleError{Cause: errEarlyRequest}
	}
	p := Preamble{Age: schema.Duration(message.GetAgeMs()), Caller: message.GetCaller(), Router: fleet.RouterID(message.GetRouter())}
	copy(p.Token[:], message.GetToken())
	return p, nil
}
