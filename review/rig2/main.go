//go:build review2

// Command rig2 plays the cases 4 to 6 of the review against the built program: it starts routers and workers as processes
// of their own, serves the platform's store, and sends the clients' requests.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit bounds the time of a whole case.
const limit = 110 * time.Second

// scene is one case: it plays against a fleet and returns what broke the rule.
type scene struct {
	setUp fleetOptions
	play  func(ctx context.Context, f *fleet, trouble bool) ([]string, error)
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD | rig2 worker FLAGS")
		os.Exit(notRun)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	os.Exit(runCase(os.Args[1], os.Args[2:]))
}

var errUsage = errors.New("a known case and the path of its record are required")

func runCase(name string, args []string) int {
	scenes := map[string]scene{
		"poison-midway": poisonMidway(), "frozen-router": frozenRouter(), "poison-parallel": poisonParallel(),
	}
	s, known := scenes[name]
	if !known || len(args) != 1 {
		fmt.Fprintln(os.Stderr, errUsage)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	findings, err := playScene(ctx, s, args[0], trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return notRun
	case len(findings) > 0:
		fmt.Printf("%s: rule broken, %d times\n", name, len(findings))
		return broken
	}
	fmt.Printf("%s: rule held\n", name)
	return held
}

// playScene starts a fleet, plays a scene and writes its record.
func playScene(ctx context.Context, s scene, path string, trouble bool) ([]string, error) {
	out, err := os.Create(path) //nolint:gosec // the script names the file
	if err != nil {
		return nil, err
	}
	defer out.Close()
	log := &record{out: out, began: time.Now()}
	f, err := startFleet(ctx, s.setUp, log)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return nil, err
	}
	findings, err := s.play(ctx, f, trouble)
	for _, finding := range findings {
		log.add("broken", finding)
	}
	log.add("verdict", fmt.Sprintf("trouble %t, rule broken %d times, error %v", trouble, len(findings), err))
	return findings, err
}
