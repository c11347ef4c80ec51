package note_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and size of the model test, which the command line can
// override:
//
//	go test ./note -rapid.checks 5000 -rapid.seed 7
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "300", "rapid.steps": "50", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
