//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// exchange is one client attempt and its answer.
type exchange struct {
	attempt string
	status  int
	signed  bool
	body    string
	// isWhole is set if the answer's end was in order for the protocol.
	isWhole bool
}

// errNoService is the error of a case whose clients were hardly served, so that it shows nothing.
var errNoService = errors.New("fewer than half of the requests were answered with a success")

// checkServed returns an error unless most requests were answered with a success.
func checkServed(all []exchange) error {
	served := 0
	for _, e := range all {
		if e.status == http.StatusOK {
			served++
		}
	}
	if 2*served < len(all) || served == 0 {
		return fmt.Errorf("%w: %d of %d", errNoService, served, len(all))
	}
	return nil
}

// clients sends requests at a steady rate, each on a connection of its own, and collects the answers.
type clients struct {
	fleet *fleet
	http  *http.Client

	mu        sync.Mutex
	exchanges []exchange
	waiting   sync.WaitGroup
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// run sends requests for a while, and returns once all are answered.
func (c *clients) run(ctx context.Context, during, every time.Duration, newRequest func(ctx context.Context, front, attempt string) (*http.Request, error)) []exchange {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for end := time.Now().Add(during); time.Now().Before(end); <-ticker.C {
		front, attempt := c.fleet.front(), fmt.Sprintf("%016x", rand.Uint64())
		c.waiting.Go(func() { c.send(ctx, front, attempt, newRequest) })
	}
	c.waiting.Wait()
	return c.exchanges
}

func (c *clients) send(ctx context.Context, front, attempt string, newRequest func(ctx context.Context, front, attempt string) (*http.Request, error)) {
	request, err := newRequest(ctx, front, attempt)
	if err != nil {
		c.fleet.log.add("client", fmt.Sprintf("not sent %s: %v", attempt, err))
		return
	}
	c.fleet.log.add("sent", fmt.Sprintf("%s %s to %s", attempt, request.URL.Path, front))
	e := exchange{attempt: attempt}
	response, err := c.http.Do(request)
	if err == nil {
		e.status, e.signed = response.StatusCode, response.Header.Get("X-Nutmeglock-Response-Signature") != ""
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		e.body, e.isWhole = string(body), err == nil
	}
	c.fleet.log.add("answered", fmt.Sprintf("%s status %d, signed %t, %d bytes, whole for the client %t, error %v",
		attempt, e.status, e.signed, len(e.body), e.isWhole, err))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, e)
}

// dispatch returns a request of the route that isn't idempotent.
func dispatch(ctx context.Context, front, attempt string) (*http.Request, error) {
	request, err := newPost(ctx, front, "/dispatch/order", attempt)
	if err == nil {
		request.Header.Set("X-Nutmeglock-Deadline-Remaining-Ms", "1500")
	}
	return request, err
}

func newPost(ctx context.Context, front, path, attempt string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader("body of "+attempt))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header.Set(attemptField, attempt)
	request.Header.Set("Authorization", "Token "+key)
	return request, nil
}
