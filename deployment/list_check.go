package deployment

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/registry"
)

const (
	// listCheckTimeout bounds a check that a request waits for.
	listCheckTimeout = 300 * time.Millisecond
	// listCheckPause is the time from the start of one check to that of the next.
	listCheckPause = 200 * time.Millisecond
)

// listCheck brings the list of upstreams up to date for a request that depends on it. A list that was confirmed shortly
// before may lack an upstream that has registered since. Requests that wait share a check.
type listCheck struct {
	state *State
	// feed may be nil: then nothing can be checked.
	feed follow.Feed[registry.Change, registry.Revision]
	log  *slog.Logger

	mu sync.Mutex
	// startedAt is when the latest check began, and succeeded its result.
	startedAt time.Time
	succeeded bool
}

// confirm returns true once the list has all that the store knew at the time of the call or later, and false if the store
// doesn't tell.
func (c *listCheck) confirm(ctx context.Context) bool {
	if c.feed == nil {
		return true
	}
	arrived := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.startedAt.Before(arrived) {
		return c.succeeded
	}
	time.Sleep(time.Until(c.startedAt.Add(listCheckPause)))
	c.startedAt = time.Now()
	err := c.check(ctx)
	c.succeeded = err == nil
	if err != nil {
		c.log.Info("list of upstreams not confirmed", "error", err)
	}
	return c.succeeded
}

// check asks the store for the changes that this router doesn't know.
func (c *listCheck) check(ctx context.Context) error {
	// The result also serves other requests, so it doesn't end with this one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listCheckTimeout)
	defer cancel()
	changes, revision, err := c.feed.Watch(ctx, c.state.upstreamPosition().Known, 0)
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		c.state.ApplyUpstreams(changes, storeSource)
	}
	c.state.advanceUpstreams(revision)
	return nil
}
