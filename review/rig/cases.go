//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// mostTime bounds a case.
const mostTime = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken, or an error if it couldn't run.
var cases = map[string]func(s *scene) (bool, error){}

// runCase plays a case and returns its exit code.
func runCase(name, path string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newScene(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(mostTime):
		}
		s.end()
		os.Exit(exitNotRun)
	}()
	broken, err := play(s)
	s.end()
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		r.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
