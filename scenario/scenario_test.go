package scenario_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/command"
	"nutmeglock.example/nutmeglock/scenario"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"nutmeglock": nutmeglock})
}

func nutmeglock() {
	root := &cli.Command{Name: "nutmeglock", Commands: []*cli.Command{command.StandIn()}}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func TestStandIns(t *testing.T) {
	t.Parallel()
	testscript.Run(t, scenario.Params("testdata/stand-in"))
}
