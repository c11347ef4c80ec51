package command

import (
	"os"
	"syscall"
)

// stopSignals returns the signals that request a graceful shutdown.
func stopSignals() []os.Signal { return []os.Signal{syscall.SIGINT, syscall.SIGTERM} }
