//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["parts"] = playParts }

const (
	crashingPart = "91bd3f06"
	// calmTime is how long only sound requests come, and crashingTime how long requests with the crashing part do.
	calmTime     = 8 * time.Second
	crashingTime = 16 * time.Second
	// spacing is the mean time between two requests of either sort.
	spacing = 25 * time.Millisecond
	// minBack and maxBack bound how long an engine that has crashed is away.
	minBack = 2500 * time.Millisecond
	maxBack = 4 * time.Second
	engines = 9
)

// partCall is a request that may hold the crashing part.
type partCall struct {
	*call
	holdsPart bool
}

// playParts sends requests with a part that crashes each engine which begins to write an answer, among sound ones.
func playParts(s *scene) (bool, error) {
	s.isQuiet = true
	if err := s.configure([]map[string]any{streamRoute()}, []map[string]any{engineService()}); err != nil {
		return false, err
	}
	for i := range engines {
		if err := s.startEngine(i); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	began := time.Now()
	crashing, end := began.Add(calmTime), began.Add(calmTime+crashingTime)
	calls := make(chan partCall, 1<<14)
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		s.sendParts(&wait, calls, began, end, false)
	}()
	if s.isTrouble {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.sendParts(&wait, calls, crashing, end, true)
		}()
	}
	s.restartEngines(end)
	wait.Wait()
	close(calls)
	return s.judgeParts(calls, crashing), nil
}

// startEngine starts an engine, for the first time or again.
func (s *scene) startEngine(i int) error {
	id := "i-" + itoa(i+1)
	if s.engines == nil {
		s.engines = make([]*engine, engines)
	}
	e := s.engines[i]
	if e == nil {
		e = &engine{options: workerOptions{
			id: id, service: "huvo11a", zone: zones[i%len(zones)], software: "v1", address: freeWorkerAddress(),
			flags: []string{"-slots", "64", "-events", "57", "-gap", "60ms", "-prefill", "150ms", "-crash-part", crashingPart, "-crash-at", "1"},
		}}
		s.engines[i] = e
	}
	var err error
	e.child, err = s.startWorker(e.options)
	return err
}

// restartEngines starts engines that have crashed again after some seconds, until a time.
func (s *scene) restartEngines(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		for i, e := range s.engines {
			select {
			case <-e.child.exited:
			default:
				continue
			}
			if e.backAt.IsZero() {
				e.backAt = time.Now().Add(minBack + rand.N(maxBack-minBack))
			}
			if time.Now().After(e.backAt) {
				e.backAt = time.Time{}
				if err := s.startEngine(i); err != nil {
					s.record.add("worker %s does not start: %v", e.options.id, err)
				}
			}
		}
	}
}

// sendParts sends requests at random times.
func (s *scene) sendParts(wait *sync.WaitGroup, calls chan<- partCall, from, to time.Time, holdsPart bool) {
	time.Sleep(time.Until(from))
	for time.Now().Before(to) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			calls <- s.sendPart(holdsPart)
		}()
		time.Sleep(rand.N(2 * spacing))
	}
}

// sendPart sends one request. Requests share their account and all parts but the last with others.
func (s *scene) sendPart(holdsPart bool) partCall {
	prefix := fmt.Sprintf("%x:800,%x:200", 0x5c1e07a0+rand.IntN(6), 0x77770000+rand.IntN(20))
	if holdsPart {
		prefix += "," + crashingPart + ":300"
	}
	c := partCall{call: &call{id: newID(), sent: time.Now()}, holdsPart: holdsPart}
	r := s.routers[rand.IntN(len(s.routers))]
	c.run(r, http.MethodPost, "/lohu930/2f", []byte("prompt "+c.id), 15*time.Second, map[string]string{
		"X-Nutmeglock-Model": "m", "X-Nutmeglock-Token-Count": "1550,180", "X-Nutmeglock-Prompt-Prefix": prefix + "," + newID()[:8] + ":250",
	})
	s.record.add("client sent request %s at %.3f to %s, with the crashing part: %t, got %d and %d bytes", c.id, c.sent.Sub(s.record.began).Seconds(),
		r.name, holdsPart, c.status, len(c.body))
	return c
}

const (
	// maxLateRequests is how many requests with the part may reach workers later than stableMs after crashCount crashes.
	maxLateRequests = 3
	crashCount      = 5
)

func (s *scene) judgeParts(calls <-chan partCall, crashing time.Time) bool {
	var crashes []time.Time
	arrived := make(map[string]string)
	for _, n := range s.seen() {
		switch n.What {
		case "crashes":
			crashes = append(crashes, time.UnixMilli(n.AtMS))
		case "part arrives":
			arrived[n.Request] = n.Worker
		}
	}
	s.record.add("%d crashes", len(crashes))
	if len(crashes) < crashCount {
		return false
	}
	fifth := crashes[crashCount-1]
	s.record.addAt(fifth, "fifth crash")
	late, before, begunBefore, after, begunAfter := 0, 0, 0, 0, 0
	for c := range calls {
		worker, reached := arrived[c.id]
		switch {
		case c.holdsPart && reached && c.sent.After(fifth.Add(stable)):
			late++
			s.record.add("request %s, sent %.3f s after the fifth crash, reached %s", c.id, c.sent.Sub(fifth).Seconds(), worker)
		case c.holdsPart:
		case c.sent.Before(crashing):
			before++
			begunBefore += begun(c)
		case c.sent.After(fifth.Add(2 * stable)):
			after++
			begunAfter += begun(c)
		}
	}
	s.record.add("of the sound requests %d of %d began before, %d of %d from %v after the fifth crash on", begunBefore, before, begunAfter, after, 2*stable)
	s.record.add("%d requests with the part were sent later than %v after the fifth crash and reached workers; %d crashes in all", late, stable, len(crashes))
	return late > maxLateRequests
}

// begun returns 1 if the answer to a request began.
func begun(c partCall) int {
	if c.status == http.StatusOK {
		return 1
	}
	return 0
}
