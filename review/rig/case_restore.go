//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restore"] = playRestore }

const (
	// copyAge is how old the copy is from which the store comes back, and awayTime how long it is away before.
	copyAge  = 8 * time.Second
	awayTime = time.Second
)

// playRestore lets a worker leave some seconds after the store came back from a copy.
func playRestore(s *scene) (bool, error) {
	routes, services := []map[string]any{orderRoute()}, []map[string]any{plainService()}
	if err := s.configure(routes, services); err != nil {
		return false, err
	}
	workers := make([]*child, 4)
	for i := range workers {
		id := fmt.Sprintf("i-%d", i+1)
		var err error
		if workers[i], err = s.startWorker(workerOptions{
			id: id, service: "wuno96b", zone: zones[i%len(zones)], software: "v1", address: freeWorkerAddress(),
			flags: []string{"-slots", "6", "-work", "300ms", "-linger", "500ms"},
		}); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(stable + copyAge)
	if s.isTrouble {
		s.store.setAway(true)
		s.record.add("the store is away (503)")
		time.Sleep(awayTime)
		before, after := s.store.comeBackFromCopy(time.Now().Add(-copyAge))
		s.record.add("the store is back from a copy that is %v old, at version %d, after %d", copyAge, after, before)
		if err := write(s.platform, operatorTable, "config", s.configuration(routes, services)); err != nil {
			return false, err
		}
	}
	back, callsBefore := time.Now(), s.store.callCount()
	time.Sleep(2 * time.Second)
	calls := s.sendBatch()
	time.Sleep(time.Until(back.Add(stable + 200*time.Millisecond)))
	s.record.add("worker i-1 is asked to leave; the store is at version %d", s.store.currentVersion())
	asked := time.Now()
	if err := workers[0].command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	accepted, err := s.awaitNote("i-1", "draining accepted", asked, 2*time.Second)
	if err != nil {
		return false, err
	}
	acceptedAt := time.UnixMilli(accepted.AtMS)
	time.Sleep(time.Until(acceptedAt.Add(drain + 150*time.Millisecond)))
	calls = append(calls, s.sendBatch()...)
	s.record.add("the store is at version %d and was called %d times in %.1f s", s.store.currentVersion(),
		s.store.callCount()-callsBefore, time.Since(back).Seconds())
	time.Sleep(time.Second)
	return s.judgeLeaving(calls, "i-1", acceptedAt), nil
}

// sendBatch sends orders to all routers and waits for the answers.
func (s *scene) sendBatch() []*call {
	var wait sync.WaitGroup
	calls := make([]*call, 3*routers)
	for i := range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			calls[i] = s.sendOrder(s.routers[i%routers])
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wait.Wait()
	return calls
}

// judgeLeaving reports whether a worker ran requests that were sent later than the drain time after it reported that it drains.
func (s *scene) judgeLeaving(calls []*call, worker string, accepted time.Time) bool {
	bound := accepted.Add(drain)
	late, lost := 0, 0
	for _, c := range calls {
		ran, answered := s.ranAt(c.id, worker)
		if !ran || !c.sent.After(bound) {
			continue
		}
		late++
		s.record.add("request %s was sent %.3f s after the store had accepted that %s drains, and reached it", c.id, c.sent.Sub(accepted).Seconds(), worker)
		if !answered || c.status != 200 {
			lost++
			s.record.add("request %s ran there and its client got %d", c.id, c.status)
		}
	}
	s.record.add("%d requests reached the leaving worker too late, %d of them were lost there", late, lost)
	return late > 0
}

// ranAt reports whether a worker ran a request, and whether it answered.
func (s *scene) ranAt(id, worker string) (ran, answered bool) {
	for _, n := range s.seen() {
		if n.Request == id && n.Worker == worker {
			ran = ran || n.What == "runs"
			answered = answered || n.What == "answered"
		}
	}
	return ran, answered
}
