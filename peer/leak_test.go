package peer_test

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestMain fails when a goroutine of the package outlives the routers that
// started it: each reconnection would leave one behind, until the memory of a
// small VM is used up. The tests of package scheduler run in bubbles, which
// check the same.
func TestMain(m *testing.M) {
	code := m.Run()
	if left := leaked(); code == 0 && left != "" {
		fmt.Fprintln(os.Stderr, "goroutine left:\n"+left)
		code = 1
	}
	os.Exit(code)
}

// leaked returns a goroutine of the package that does not end within a few
// seconds, or nothing.
func leaked() string {
	var left string
	for range 100 {
		left = ""
		buffer := make([]byte, 1<<20)
		for _, stack := range strings.Split(string(buffer[:runtime.Stack(buffer, true)]), "\n\n") {
			if strings.Contains(stack, "nutmeglock/peer.") {
				left = stack
			}
		}
		if left == "" {
			return ""
		}
		time.Sleep(50 * time.Millisecond)
	}
	return left
}
