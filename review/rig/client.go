//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a client and what the client saw of its answer.
type call struct {
	id          string
	sent, ended time.Time
	router      string
	status      int
	signature   string
	body        []byte
	// isWhole is set if the answer ended as the protocol says, so that it looks complete.
	isWhole bool
	err     error
}

var httpClient = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to a router, waits for the end of its answer and records both.
func (s *scene) send(r *router, method, path string, body []byte, deadline time.Duration, fields map[string]string) *call {
	c := &call{id: newID(), sent: time.Now(), router: r.name}
	s.record.addAt(c.sent, "client sends request %s to %s: %s %s", c.id, r.name, method, path)
	c.run(r, method, path, body, deadline, fields)
	c.ended = time.Now()
	s.record.addAt(c.ended, "client gets %d for request %s, signature %q, %d bytes, looks complete: %t, error: %v",
		c.status, c.id, c.signature, len(c.body), c.isWhole, c.err)
	return c
}

func (c *call) run(r *router, method, path string, body []byte, deadline time.Duration, fields map[string]string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.front+path, bytes.NewReader(body))
	if err != nil {
		c.err = err
		return
	}
	request.Host = host
	request.Header.Set(attemptName, c.id)
	request.Header.Set("Authorization", "Token "+apiKey)
	request.Header.Set("X-Nutmeglock-Deadline-Remaining-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range fields {
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		c.err = err
		return
	}
	defer response.Body.Close()
	c.status, c.signature = response.StatusCode, response.Header.Get(signatureName)
	c.body, c.err = io.ReadAll(response.Body)
	c.isWhole = c.err == nil
}

// sendStream sends a request for a stream, whose prompt shares its first part with others of that number.
func (s *scene) sendStream(r *router, prompt int) *call {
	return s.send(r, http.MethodPost, "/lohu930/2f", []byte("a prompt"), 15*time.Second, map[string]string{
		"X-Nutmeglock-Model": "m", "X-Nutmeglock-Token-Count": "1460,160",
		"X-Nutmeglock-Prompt-Prefix": fmt.Sprintf("%x:1210,%s:250", 0x5c1e07a2+prompt, newID()[:8]),
	})
}

// sendOrder sends an order, which must not run twice.
func (s *scene) sendOrder(r *router) *call {
	return s.send(r, http.MethodPost, "/puxa403/2f", []byte("an order"), 1500*time.Millisecond, nil)
}

// streamEvent is an event that a client got.
type streamEvent struct {
	id               int
	version, atWhich string
}

var errEvent = errors.New("an event that no worker sends")

// events returns the events of a stream.
func (c *call) events() ([]streamEvent, error) {
	var out []streamEvent
	for text := range strings.SplitSeq(string(c.body), "\n\n") {
		if text == "" {
			continue
		}
		var e streamEvent
		if _, err := fmt.Sscanf(text, "id: %d\ndata: %s %s", &e.id, &e.version, &e.atWhich); err != nil {
			return out, errEvent
		}
		out = append(out, e)
	}
	return out, nil
}
