//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["versions"] = playVersions }

// playVersions replaces the software of two engines, one after the other and each under its id, while the store is away.
func playVersions(s *scene) (bool, error) {
	if err := s.configure([]map[string]any{streamRoute()}, []map[string]any{engineService()}); err != nil {
		return false, err
	}
	options := func(id string, zone int, address, software string) workerOptions {
		return workerOptions{
			id: id, service: "huvo11a", zone: zones[zone], software: software, address: address,
			flags: []string{"-slots", "64", "-events", "44", "-gap", "250ms", "-linger", "300ms"},
		}
	}
	addressA, addressB := freeWorkerAddress(), freeWorkerAddress()
	a, err := s.startWorker(options("i-a", 0, addressA, "v1"))
	if err != nil {
		return false, err
	}
	b, err := s.startWorker(options("i-b", 1, addressB, "v1"))
	if err != nil {
		return false, err
	}
	if err := s.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	if s.isTrouble {
		s.store.setAway(true)
		s.record.add("the store is down (503)")
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	var wait sync.WaitGroup
	calls := make([]*call, 18)
	for i := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			calls[i] = s.sendStream(s.routers[i%routers])
		}()
		time.Sleep(20 * time.Millisecond)
	}
	if err := s.replace(b, options("i-b", 1, addressB, "v2")); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if err := s.replace(a, options("i-a", 0, addressA, "v2")); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if s.isTrouble {
		s.store.setAway(false)
		s.record.add("the store is back")
	}
	wait.Wait()
	s.record.add("the streams took %.1f s", time.Since(began).Seconds())
	return s.judgeVersions(calls), nil
}

// replace makes a worker leave, waits until it has exited and starts it again under its id.
func (s *scene) replace(c *child, next workerOptions) error {
	s.record.add("worker %s is asked to leave", next.id)
	if err := c.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-c.exited
	since := time.Now()
	time.Sleep(100 * time.Millisecond)
	if _, err := s.startWorker(next); err != nil {
		return err
	}
	_, err := s.awaitNote(next.id, "started", since, 3*time.Second)
	return err
}

// mostMixedStreams is how many streams may hold events of two software versions.
const mostMixedStreams = 2

func (s *scene) judgeVersions(calls []*call) bool {
	mixed := 0
	for _, c := range calls {
		events, _ := c.events()
		versions := make(map[string]bool)
		text := ""
		for _, e := range events {
			if !versions[e.version] {
				text += " " + e.version + " from event " + itoa(e.id)
			}
			versions[e.version] = true
		}
		if len(versions) > 1 {
			mixed++
		}
		s.record.add("request %s got %d events:%s", c.id, len(events), text)
	}
	s.record.add("%d of %d streams hold events of two software versions", mixed, len(calls))
	return mixed > mostMixedStreams
}
