package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/registry"
)

const (
	// identityTimeout bounds the time in which an upstream has to tell when it started.
	identityTimeout = 300 * time.Millisecond
	// maxIdentityBody is the maximum size of that answer, in bytes.
	maxIdentityBody = 128 << 10
	// unknownProcess marks a connection to an upstream that doesn't tell when it started.
	unknownProcess registry.StartTime = -1
)

// Identity defines how an upstream tells when its process started.
type Identity struct {
	// Path is requested by GET.
	Path string
	// Parse returns the start time from the body of the answer, and false if it has none.
	Parse func(body []byte) (registry.StartTime, bool)
}

// OtherProcessError reports that the process at an upstream's address started at another time than
// its entry says. Nothing was sent to it.
type OtherProcessError struct{ Expected, Found registry.StartTime }

// Error states both times.
func (e *OtherProcessError) Error() string {
	return fmt.Sprintf("the process started at %d, not at %d", e.Found, e.Expected)
}

// identify returns an error unless the process at the other end of a connection started at the
// expected time. A connection ends with its process, so each one is asked only once.
func (c *Client) identify(connection *conn, address string, expected registry.StartTime) error {
	if connection.process == 0 {
		found, err := c.askIdentity(connection, address)
		if err != nil {
			return eris.Wrap(err, "asking when the upstream started")
		}
		connection.process = found
	}
	if connection.process != unknownProcess && connection.process != expected {
		return &OtherProcessError{Expected: expected, Found: connection.process}
	}
	return nil
}

// CheckProcess returns an error if no connection to an upstream can be opened, or if its process started at
// another time than expected.
func (c *Client) CheckProcess(ctx context.Context, address string, expected registry.StartTime) error {
	connection, err := c.open(ctx, address)
	if err == nil && c.Identity != nil {
		err = c.identify(connection, address, expected)
	}
	if err != nil {
		if connection != nil {
			_ = connection.Close()
		}
		return &Error{Address: address, Cause: errorCause(ctx, err)}
	}
	c.putIdle(address, connection, checkIdleTime)
	return nil
}

func (c *Client) askIdentity(connection *conn, address string) (registry.StartTime, error) {
	if err := connection.SetDeadline(time.Now().Add(identityTimeout)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.Identity.Path, address); err != nil {
		return 0, err
	}
	// The answer has no id, so answers to other requests are told apart by theirs.
	response, err := (&exchange{client: c, conn: connection, address: address}).receive(Request{Method: http.MethodGet})
	if err != nil {
		return 0, err
	}
	connection.isNew = false
	body, err := io.ReadAll(io.LimitReader(response.Body, maxIdentityBody))
	err = errors.Join(err, response.Body.Close(), connection.SetDeadline(time.Time{}))
	if err != nil {
		return 0, err
	}
	if response.Close {
		return 0, eris.New("the upstream closes the connection")
	}
	started, ok := c.Identity.Parse(body)
	if response.StatusCode != http.StatusOK || !ok {
		return unknownProcess, nil
	}
	return started, nil
}
