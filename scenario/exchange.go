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

// reply is what came back. An error with a status means that the body broke off.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request and reads the whole reply.
func (w *World) send(r request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	x := &exchange{request: r, done: make(chan struct{})}
	x.run(ctx, w.client)
	return x.reply
}

// exchange is a request on its way, which a script can look at while it streams.
type exchange struct {
	request request
	// direct is the same request as the upstream itself would get it.
	direct request
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	reply reply
}

// begin sends a request in the background.
func (w *World) begin(x *exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	x.cancel = cancel
	x.done = make(chan struct{})
	go x.run(ctx, w.client)
}

func (x *exchange) run(ctx context.Context, client *http.Client) {
	defer close(x.done)
	if err := x.exchange(ctx, client); err != nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.reply.err = err
	}
}

func (x *exchange) exchange(ctx context.Context, client *http.Client) error {
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
	return x.read(response.Body)
}

func (x *exchange) read(body io.Reader) error {
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

// sofar returns what has come back until now.
func (x *exchange) sofar() reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reply
}

// wait returns the reply once it is whole or broken.
func (x *exchange) wait() reply {
	<-x.done
	return x.sofar()
}

// wholeEvents returns the part of a streamed body that ends with a whole
// event, and the number of the last one.
func wholeEvents(body string) (text string, last int, err error) {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return "", 0, nil
	}
	text = body[:end+len("\n\n")]
	start := strings.LastIndex(text, "id: ")
	if start < 0 {
		return "", 0, fmt.Errorf("a stream without event numbers: %q", text)
	}
	line, _, _ := strings.Cut(text[start+len("id: "):], "\n")
	last, err = strconv.Atoi(line)
	return text, last, err
}
