//go:build review

package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["unframed-stream"] = playUnframedStream
	cases["unframed-order"] = playUnframedOrder
}

const streamEvents = 44

// playUnframedStream lets an engine leave whose streams have no length and no chunks.
func playUnframedStream(s *scene) (bool, error) {
	if err := s.configure([]map[string]any{streamRoute()}, []map[string]any{engineService()}); err != nil {
		return false, err
	}
	workers := make(map[string]*child)
	for i := range 4 {
		var err error
		id := "i-" + itoa(i+1)
		if workers[id], err = s.startWorker(workerOptions{
			id: id, service: "huvo11a", zone: zones[i%len(zones)], software: "v1", address: freeWorkerAddress(),
			flags: []string{"-slots", "64", "-events", itoa(streamEvents), "-gap", "250ms", "-linger", "1500ms", "-unframed"},
		}); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	var wait sync.WaitGroup
	calls := make([]*call, 12)
	for i := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			calls[i] = s.sendStream(s.routers[i%routers], 0)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if s.isTrouble {
		leaving := workers[s.busiest()]
		s.record.add("a worker is asked to leave")
		if err := leaving.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	wait.Wait()
	broken := 0
	for _, c := range calls {
		events, err := c.events()
		s.record.add("request %s got %d of %d events, looks complete: %t, error: %v", c.id, len(events), streamEvents, c.isWhole, err)
		if c.status == 200 && c.isWhole && len(events) < streamEvents {
			broken++
		}
	}
	s.record.add("%d of %d streams look complete and are not", broken, len(calls))
	return broken > 0, nil
}

// busiest returns which of the workers runs most streams.
func (s *scene) busiest() string {
	runs, most := make(map[string]int), ""
	for _, n := range s.seen() {
		if n.What == "runs" {
			runs[n.Worker]++
			if runs[n.Worker] > runs[most] {
				most = n.Worker
			}
		}
	}
	return most
}

// playUnframedOrder kills a worker while it sends the answer to an order, without a length and chunks.
func playUnframedOrder(s *scene) (bool, error) {
	if err := s.configure([]map[string]any{orderRoute()}, []map[string]any{plainService()}); err != nil {
		return false, err
	}
	workers := make(map[string]*child)
	for i := range 3 {
		id := "i-" + itoa(i+1)
		c, err := s.startWorker(workerOptions{
			id: id, service: "wuno96b", zone: zones[i], software: "v1", address: freeWorkerAddress(),
			flags: []string{"-slots", "6", "-work", "150ms", "-unframed", "-half"},
		})
		if err != nil {
			return false, err
		}
		workers[id] = c
	}
	if err := s.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	var wait sync.WaitGroup
	calls := make([]*call, 12)
	began := time.Now()
	for i := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			calls[i] = s.sendOrder(s.routers[i%routers])
		}()
	}
	if s.isTrouble {
		n, err := s.awaitHalf(began)
		if err != nil {
			return false, err
		}
		s.record.add("worker %s is killed", n.Worker)
		_ = workers[n.Worker].command.Process.Kill()
	}
	wait.Wait()
	broken := 0
	for _, c := range calls {
		if c.status == 200 && c.isWhole && !hasWholeBody(c) {
			broken++
			s.record.add("request %s got %d bytes of a body whose signature is %s", c.id, len(c.body), c.signature)
		}
	}
	s.record.add("%d of %d answers look complete and are not", broken, len(calls))
	return broken > 0, nil
}

func (s *scene) awaitHalf(since time.Time) (note, error) {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if n, err := s.awaitNote(id, "half answered", since, 400*time.Millisecond); err == nil {
			return n, nil
		}
	}
	return note{}, errEvent
}

// hasWholeBody reports whether the body is the one that the signature was made for.
func hasWholeBody(c *call) bool {
	worker, _, _ := strings.Cut(c.signature, ".")
	return c.signature == signatureOf(worker, c.body)
}
