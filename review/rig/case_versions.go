//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["versions"] = playVersions }

const (
	versionEngines = 5
	versionStreams = 120
	versionPrompts = 24
)

// playVersions replaces the software of two of five engines, one after the other and each under its id, while the store is
// away: first one that runs no stream, then the one that runs most.
func playVersions(s *scene) (bool, error) {
	if err := s.configure([]map[string]any{streamRoute()}, []map[string]any{engineService()}); err != nil {
		return false, err
	}
	children := make(map[string]*child)
	options := make(map[string]workerOptions)
	for i := range versionEngines {
		o := workerOptions{
			id: "i-" + itoa(i+1), service: "huvo11a", zone: zones[i%len(zones)], software: "v1", address: freeWorkerAddress(),
			flags: []string{"-slots", "64", "-events", "44", "-gap", "250ms", "-linger", "300ms"},
		}
		var err error
		if children[o.id], err = s.startWorker(o); err != nil {
			return false, err
		}
		options[o.id] = o
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
	var wait sync.WaitGroup
	calls := make([]*call, versionStreams)
	for i := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			calls[i] = s.sendStream(s.routers[i%routers], i%versionPrompts)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	idlest, busiest := s.leastAndMost(options)
	for _, id := range []string{idlest, busiest} {
		next := options[id]
		next.software = "v2"
		if err := s.replace(children[id], next); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	if s.isTrouble {
		s.store.setAway(false)
		s.record.add("the store is back")
	}
	wait.Wait()
	return s.judgeVersions(calls), nil
}

// leastAndMost returns the engines that run fewest and most streams.
func (s *scene) leastAndMost(engines map[string]workerOptions) (least, most string) {
	runs := make(map[string]int)
	for _, n := range s.seen() {
		if n.What == "runs" {
			runs[n.Worker]++
		}
	}
	for id := range engines {
		if least == "" || runs[id] < runs[least] {
			least = id
		}
		if most == "" || runs[id] > runs[most] {
			most = id
		}
	}
	s.record.add("streams by engine: %v", runs)
	return least, most
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
