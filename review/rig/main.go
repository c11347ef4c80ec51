//go:build review

// Command rig plays the cases of the review: it starts the routers of this project as separate processes in front of
// stand-ins for the platform's store, the workers and the clients, and judges what clients and workers have seen.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Children are started from the main thread, which lasts as long as the process, so that they end with it.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig worker FLAGS | rig case NAME RECORD")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "worker":
		os.Exit(runWorker(os.Args[2:]))
	case "case":
		if len(os.Args) != 4 {
			os.Exit(exitNotRun)
		}
		os.Exit(runCase(os.Args[2], os.Args[3]))
	}
	os.Exit(exitNotRun)
}
