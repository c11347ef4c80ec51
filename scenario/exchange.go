package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// request is one HTTP request of a script.
type request struct {
	method string
	url    string
	body   string
	key    string
	header http.Header
}

// reply is the reply to a request. If both status and err are set, the
// connection broke within the body.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request and reads the whole reply.
func (s *script) send(r request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	x := &exchange{request: r, done: make(chan struct{})}
	x.run(ctx, s.client)
	return x.reply
}

// exchange is a request with its reply, which can be read while it is streamed.
type exchange struct {
	request request
	// direct is the corresponding request to an upstream, without its address.
	direct request
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	reply reply
}

// startExchange sends the request of x in the background.
func (s *script) startExchange(x *exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	x.cancel = cancel
	x.done = make(chan struct{})
	go x.run(ctx, s.client)
}

func (x *exchange) run(ctx context.Context, client *http.Client) {
	defer close(x.done)
	if err := x.roundTrip(ctx, client); err != nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.reply.err = err
	}
}

func (x *exchange) roundTrip(ctx context.Context, client *http.Client) error {
	r := x.request
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, r.url, strings.NewReader(r.body))
	if err != nil {
		return err
	}
	for name, values := range r.header {
		httpRequest.Header[name] = values
	}
	if r.body != "" {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if r.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+r.key)
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	x.mu.Lock()
	x.reply.status, x.reply.header = response.StatusCode, response.Header
	x.mu.Unlock()
	return x.readBody(response.Body)
}

func (x *exchange) readBody(body io.Reader) error {
	buffer := make([]byte, 4096)
	for {
		n, err := body.Read(buffer)
		x.mu.Lock()
		x.reply.body += string(buffer[:n])
		x.mu.Unlock()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// partialReply returns the part of the reply that has been received.
func (x *exchange) partialReply() reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reply
}

// wait waits until the reply is complete or broken, and returns it.
func (x *exchange) wait() reply {
	<-x.done
	return x.partialReply()
}

// wholeEvents returns the complete events at the start of a streamed body, and
// the number of the last one.
func wholeEvents(body string) (text string, last int, err error) {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return "", 0, nil
	}
	text = body[:end+len("\n\n")]
	start := strings.LastIndex(text, "id: ")
	if start < 0 {
		return "", 0, fmt.Errorf("the stream has no event IDs: %q", text)
	}
	line, _, _ := strings.Cut(text[start+len("id: "):], "\n")
	last, err = strconv.Atoi(line)
	return text, last, err
}
