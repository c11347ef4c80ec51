// Package command holds the subcommands of the program, one file for each.
package command

import (
	"os"
	"syscall"
)

// stopSignals returns the signals that ask a process for a graceful shutdown.
func stopSignals() []os.Signal { return []os.Signal{syscall.SIGINT, syscall.SIGTERM} }
