package scenario_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"nutmeglock.example/nutmeglock/command"
	"nutmeglock.example/nutmeglock/scenario"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"nutmeglock": nutmeglock})
}

func nutmeglock() {
	if err := command.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func TestStandIns(t *testing.T) {
	t.Parallel()
	testscript.Run(t, scenario.Params("testdata/stand-in"))
}

func TestFleet(t *testing.T) {
	t.Parallel()
	testscript.Run(t, scenario.Params("testdata/fleet"))
}
