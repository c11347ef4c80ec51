//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of each stream.
	streamEvents = 60
	// gapLimit is the gap after which clients abandon a stream.
	gapLimit = 2 * time.Second
	// maxTries is how often a client takes a stream up again.
	maxTries = 3
	// freezeAt is when the first router is frozen, and upgradeAt when workers of the next version begin to serve.
	freezeAt  = 6 * time.Second
	freezeFor = 4 * time.Second
	upgradeAt = 6500 * time.Millisecond
	// minTakeUps is the number of streams from which the rule holds.
	minTakeUps = 12
)

// streams counts what became of new streams and of those that were taken up again, at routers that nothing disturbed.
type streams struct {
	fleet *fleet
	began time.Time
	http  *http.Client
	// breaks makes clients close their connections to the first router, as they do if it is frozen.
	breaks bool

	mu                            sync.Mutex
	sent, begun, takenUp, goingOn int
	waiting                       sync.WaitGroup
}

// frozenRouter freezes a router for some seconds while workers of a second software version begin to serve.
func frozenRouter() scene {
	workers := make([]workerOptions, 8)
	for i := range workers {
		workers[i] = modelWorker("v1")
	}
	play := func(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
		s := &streams{
			fleet: f, began: time.Now(), breaks: !trouble,
			http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		}
		done := make(chan error, 1)
		go func() { done <- s.disturb(ctx, trouble) }()
		ticker := time.NewTicker(25 * time.Millisecond)
		defer ticker.Stop()
		for time.Since(s.began) < 12*time.Second {
			<-ticker.C
			router := 1 + rand.N(routerCount)
			if age := time.Since(s.began); router == 1 && age > freezeAt && age < freezeAt+freezeFor+stableTime {
				continue // the balancer takes it out
			}
			s.waiting.Go(func() { s.follow(ctx, router) })
		}
		s.waiting.Wait()
		return s.judge(), <-done
	}
	return scene{setUp: fleetOptions{workers: workers}, play: play}
}

func modelWorker(version string) workerOptions {
	return workerOptions{
		service: model, version: version, slots: 64, stream: true, events: streamEvents,
		first: 100 * time.Millisecond, interval: 100 * time.Millisecond,
	}
}

// disturb starts two workers of the next version, and freezes the first router if there is to be trouble.
func (s *streams) disturb(ctx context.Context, trouble bool) error {
	router := s.fleet.routers[0]
	sleep(ctx, freezeAt)
	if trouble {
		s.fleet.log.add("trouble", router.name+" is frozen")
		router.signal(syscall.SIGSTOP)
	}
	sleep(ctx, upgradeAt-freezeAt)
	for range 2 {
		s.fleet.log.add("plan", "a worker of version v2 starts")
		if err := s.fleet.addWorker(modelWorker("v2")); err != nil {
			return err
		}
	}
	sleep(ctx, freezeAt+freezeFor-upgradeAt)
	if trouble {
		s.fleet.log.add("trouble", router.name+" wakes")
		router.signal(syscall.SIGCONT)
	}
	return nil
}

// follow reads a new stream, and takes it up again at another router if it comes to a halt at the first one.
func (s *streams) follow(ctx context.Context, router int) {
	first := fmt.Sprintf("%016x", rand.Uint64())
	last, status, _ := s.read(ctx, router, first, first, 0)
	if router != 1 {
		s.count(status == http.StatusOK, &s.sent, &s.begun)
		return
	}
	if last == 0 || last == streamEvents {
		return
	}
	isGoingOn := false
	for range maxTries {
		next, status, wait := s.read(ctx, 2+rand.N(routerCount-1), fmt.Sprintf("%016x", rand.Uint64()), first, last)
		if isGoingOn = status == http.StatusOK && next > last; isGoingOn {
			break
		}
		sleep(ctx, max(wait, 100*time.Millisecond))
	}
	s.count(isGoingOn, &s.takenUp, &s.goingOn)
}

func (s *streams) count(isServed bool, all, served *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*all++
	if isServed {
		*served++
	}
}

// read sends one attempt and reads events until the stream ends or comes to a halt. It returns the id of the last event, the
// status and the time after which the client may return.
func (s *streams) read(ctx context.Context, router int, attempt, first string, last int) (int, int, time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gap := time.AfterFunc(gapLimit, cancel)
	defer gap.Stop()
	front := s.fleet.address(router, 8783)
	request, err := newPost(ctx, front, "/writeup/report", attempt)
	if err != nil {
		return last, 0, 0
	}
	request.Header.Set("X-Nutmeglock-Deadline-Remaining-Ms", "12000")
	request.Header.Set("X-Nutmeglock-Model", "m")
	request.Header.Set("X-Nutmeglock-Token-Count", "1110,120")
	request.Header.Set("X-Nutmeglock-Prompt-Prefix", fmt.Sprintf("%08x:800,%s:310", rand.Uint32(), first[:8]))
	if last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", first)
	}
	s.fleet.log.add("sent", fmt.Sprintf("%s to %s, stream %s after event %d", attempt, front, first, last))
	response, err := s.http.Do(request)
	if err != nil {
		s.fleet.log.add("answered", fmt.Sprintf("%s not at all: %v", attempt, err))
		return last, 0, 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		id, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		gap.Reset(gapLimit)
		last, _ = strconv.Atoi(id) // workers write numbers
		if s.breaks && router == 1 && s.isBreaking() {
			break
		}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // zero if there is none
	s.fleet.log.add("answered", fmt.Sprintf("%s status %d, up to event %d, retry after %.3f s, error %v", attempt, response.StatusCode, last, seconds, lines.Err()))
	return last, response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// isBreaking reports whether clients lose their connections to the first router now, at the time at which they would
// abandon it if it were frozen.
func (s *streams) isBreaking() bool {
	age := time.Since(s.began)
	return age > freezeAt+gapLimit && age < freezeAt+freezeFor
}

func (s *streams) judge() []string {
	s.fleet.log.add("counts", fmt.Sprintf("new streams %d, begun %d; taken up again %d, going on %d", s.sent, s.begun, s.takenUp, s.goingOn))
	if s.takenUp < minTakeUps || 2*s.goingOn*s.sent >= s.begun*s.takenUp {
		return nil
	}
	return []string{fmt.Sprintf("LOST: of %d streams that clients take up again %d go on, of %d new ones %d begin", s.takenUp, s.goingOn, s.sent, s.begun)}
}
