// Command nutmeglock runs routers, operator commands and stand-ins.
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
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		os.Exit(exitCoder.ExitCode())
	}
	os.Exit(command.ExitFailed)
}
