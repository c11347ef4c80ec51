// Command nutmeglock runs routers, the operators' commands and the stand-ins.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/command"
)

func main() {
	err := command.New().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "nutmeglock:", err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		os.Exit(coded.ExitCode())
	}
	os.Exit(command.ExitFailed)
}
