//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// streamEvents is the number of events of each whole stream.
const streamEvents = 40

// plainWorkers returns workers of the plain service whose answers have neither a length nor chunks.
func plainWorkers(count int) []workerOptions {
	out := make([]workerOptions, count)
	for i := range out {
		out[i] = workerOptions{
			service: plain, version: "v1", slots: 6, unframed: true, first: 60 * time.Millisecond, interval: 150 * time.Millisecond,
		}
	}
	return out
}

// modelWorkers returns workers of the model service.
func modelWorkers(count int, unframed bool) []workerOptions {
	out := make([]workerOptions, count)
	for i := range out {
		out[i] = workerOptions{
			service: model, version: "v1", slots: 64, stream: true, unframed: unframed, events: streamEvents,
			first: 100 * time.Millisecond, interval: 100 * time.Millisecond, leaveAfter: 2 * time.Second,
		}
	}
	return out
}

// cutAnswer kills each of three plain workers once, each for 4.5 s, while they answer.
func cutAnswer() scene {
	play := func(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
		done := make(chan error, 1)
		go func() {
			var err error
			for _, w := range f.workers {
				if sleep(ctx, 4*time.Second); trouble {
					err = errors.Join(err, f.crash(ctx, w, 4500*time.Millisecond))
				}
			}
			done <- err
		}()
		var findings []string
		all := newClients(f).run(ctx, 27*time.Second, 20*time.Millisecond, dispatch)
		for _, e := range all {
			if e.status == http.StatusOK && e.isWhole && e.body != wholeBody(e.attempt) {
				findings = append(findings, fmt.Sprintf("MIXED: %s got a success with %d bytes of the worker's %d", e.attempt, len(e.body), bodySize))
			}
		}
		return findings, errors.Join(<-done, checkServed(all))
	}
	return scene{setUp: fleetOptions{workers: plainWorkers(3)}, play: play}
}

// crash kills a worker and starts it again after a while.
func (f *fleet) crash(ctx context.Context, w *process, during time.Duration) error {
	f.log.add("trouble", "worker "+w.name+" is killed")
	w.kill()
	sleep(ctx, during)
	f.log.add("trouble", "worker "+w.name+" starts again")
	return w.restart(w.worker.version)
}

// cutStream takes one of eight model workers away two seconds after its notice.
func cutStream() scene {
	play := func(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
		if trouble {
			time.AfterFunc(8*time.Second, func() {
				f.log.add("trouble", "worker "+f.workers[0].name+" gets its notice")
				f.workers[0].signal(syscall.SIGTERM)
			})
		}
		var findings []string
		all := newClients(f).run(ctx, 16*time.Second, 20*time.Millisecond, writeup)
		for _, e := range all {
			ids, _ := e.events()
			if e.status == http.StatusOK && e.isWhole && len(ids) < streamEvents {
				findings = append(findings, fmt.Sprintf("ORDER: %s ended as complete after event %d of %d", e.attempt, len(ids), streamEvents))
			}
		}
		return findings, checkServed(all)
	}
	return scene{setUp: fleetOptions{workers: modelWorkers(8, true)}, play: play}
}

// allowedMixes is the number of streams of two software versions that breaks no rule.
const allowedMixes = 2

// restartedVersion restarts a worker with another software version during an outage of the store, and crashes it again.
func restartedVersion() scene {
	play := func(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
		done := make(chan error, 1)
		go func() { done <- f.restartInOutage(ctx, trouble) }()
		var findings []string
		all := newClients(f).run(ctx, 18*time.Second, 25*time.Millisecond, writeup)
		for _, e := range all {
			versions := make(map[string]bool)
			_, data := e.events()
			for _, d := range data {
				version, _, _ := strings.Cut(d, " ")
				versions[version] = true
			}
			if len(versions) > 1 {
				findings = append(findings, fmt.Sprintf("ORDER: %s holds events of %d software versions: %s", e.attempt, len(versions), strings.Join(data, ", ")))
			}
		}
		if len(findings) <= allowedMixes {
			findings = nil
		}
		return findings, errors.Join(<-done, checkServed(all))
	}
	return scene{setUp: fleetOptions{workers: modelWorkers(6, false)}, play: play}
}

func (f *fleet) restartInOutage(ctx context.Context, trouble bool) error {
	sleep(ctx, 5*time.Second)
	if !trouble {
		return nil
	}
	w := f.workers[0]
	f.log.add("trouble", "the store is silent")
	f.store.setDown(true)
	w.kill()
	f.log.add("trouble", "worker "+w.name+" is killed")
	sleep(ctx, 500*time.Millisecond)
	f.log.add("trouble", "worker "+w.name+" starts again with version v2")
	if err := w.restart("v2"); err != nil {
		return err
	}
	sleep(ctx, 3500*time.Millisecond)
	f.log.add("trouble", "worker "+w.name+" is killed")
	w.kill()
	sleep(ctx, 500*time.Millisecond)
	f.log.add("trouble", "the store is back")
	f.store.setDown(false)
	return nil
}
