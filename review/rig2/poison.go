//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonPath = "/dispatch/poison"
	// backAfter is how long a worker that has crashed is gone.
	backAfter = 3 * time.Second
	// stableTime is the pages' stableMs.
	stableTime = 3 * time.Second
	// crashesKnown is the number of crashes after which the retries count, and allowedRetries how many may reach workers.
	crashesKnown   = 3
	allowedRetries = 3
)

// wave is how the request that crashes workers comes: copies at a time, spread over a while, in each of several waves.
type wave struct {
	count, copies int
	every, spread time.Duration
}

// poisonMidway sends a request that crashes its workers in the middle of their answers, one at a time.
func poisonMidway() scene {
	workers := poisonedWorkers(60 * time.Millisecond)
	for i := range workers {
		workers[i].unframed, workers[i].crashMidway = true, true
	}
	return poison(workers, wave{count: 12, copies: 1, every: 2500 * time.Millisecond})
}

// poisonParallel sends a request that crashes its workers before they answer through three routers at about the same time.
func poisonParallel() scene {
	return poison(poisonedWorkers(300*time.Millisecond), wave{count: 5, copies: 3, every: 5 * time.Second, spread: 250 * time.Millisecond})
}

// poisonedWorkers returns workers of the plain service.
func poisonedWorkers(first time.Duration) []workerOptions {
	out := make([]workerOptions, 8)
	for i := range out {
		out[i] = workerOptions{service: plain, version: "v1", slots: 6, first: first, interval: 20 * time.Millisecond, crashPath: poisonPath}
	}
	return out
}

func poison(workers []workerOptions, waves wave) scene {
	play := func(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		for _, w := range f.workers {
			go w.supervise(ctx, backAfter)
		}
		path := "/dispatch/harmless"
		if trouble {
			path = poisonPath
		}
		sound, bad := newClients(f), newClients(f)
		var sending sync.WaitGroup
		sending.Go(func() { bad.sendWaves(ctx, waves, path) })
		all := sound.run(ctx, time.Duration(waves.count)*waves.every+2*time.Second, 40*time.Millisecond, dispatch)
		sending.Wait()
		return f.lateRetries(bad.exchanges), checkServed(all)
	}
	return scene{setUp: fleetOptions{workers: workers}, play: play}
}

// sendWaves sends the same request again and again, each time through the next router.
func (c *clients) sendWaves(ctx context.Context, waves wave, path string) {
	for n := range waves.count {
		sleep(ctx, waves.every)
		for i := range waves.copies {
			front, attempt := c.fleet.address(1+(n+i)%routerCount, 8783), fmt.Sprintf("bad%013x", rand.Uint64()>>12)
			c.waiting.Go(func() {
				if waves.spread > 0 {
					sleep(ctx, rand.N(waves.spread))
				}
				c.send(ctx, front, attempt, func(ctx context.Context, front, attempt string) (*http.Request, error) {
					return sameOrder(ctx, front, path, attempt)
				})
			})
		}
	}
	c.waiting.Wait()
}

// sameOrder returns a request of the route that isn't idempotent, with a body that is always the same.
func sameOrder(ctx context.Context, front, path, attempt string) (*http.Request, error) {
	request, err := dispatch(ctx, front, attempt)
	if err != nil {
		return nil, err
	}
	const body = "order of 12 manholes"
	request.URL.Path = path
	request.Body, request.ContentLength, request.GetBody = io.NopCloser(strings.NewReader(body)), int64(len(body)), nil
	return request, nil
}

// lateRetries returns the runs of a request that began too long after it had crashed several workers, if there are more
// than are allowed.
func (f *fleet) lateRetries(sent []exchange) []string {
	isSent := make(map[string]bool)
	for _, e := range sent {
		isSent[e.attempt] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	crashed := make(map[string]bool)
	var bound time.Time
	var late []string
	for _, l := range f.lines {
		if !isSent[l.attempt] {
			continue
		}
		switch {
		case l.what == "crash" && bound.IsZero():
			crashed[l.worker] = true
			if len(crashed) == crashesKnown {
				bound = l.at.Add(stableTime)
			}
		case l.what == "run" && !bound.IsZero() && l.at.After(bound):
			late = append(late, fmt.Sprintf("BUDGET: %s reached worker %s %v after the bound", l.attempt, l.worker, l.at.Sub(bound).Round(time.Millisecond)))
		}
	}
	if len(late) <= allowedRetries {
		return nil
	}
	return late
}
