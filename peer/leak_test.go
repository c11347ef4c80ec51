package peer_test

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestMain fails if a goroutine of the package is still running after the tests.
// A goroutine leaked with each reconnection would in time use up the memory of a
// small VM. The tests of package scheduler run in synctest bubbles, which make
// the same check.
func TestMain(m *testing.M) {
	code := m.Run()
	if stack := leakedGoroutine(); code == 0 && stack != "" {
		fmt.Fprintln(os.Stderr, "leaked goroutine:\n"+stack)
		code = 1
	}
	os.Exit(code)
}

// leakedGoroutine returns the stack of a goroutine of the package that does not
// end within a few seconds, or an empty string.
func leakedGoroutine() string {
	var leaked string
	for range 100 {
		leaked = ""
		buffer := make([]byte, 1<<20)
		for _, stack := range strings.Split(string(buffer[:runtime.Stack(buffer, true)]), "\n\n") {
			if strings.Contains(stack, "nutmeglock/peer.") {
				leaked = stack
			}
		}
		if leaked == "" {
			return ""
		}
		time.Sleep(50 * time.Millisecond)
	}
	return leaked
}
