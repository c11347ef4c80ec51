package command

import (
	"fmt"

	"github.com/urfave/cli/v3"
)

// printLine writes a line to the command's output. It ignores errors, such as a
// closed pipe, which could not be reported anyway.
func printLine(c *cli.Command, line string) {
	_, _ = fmt.Fprintln(c.Root().Writer, line)
}

// printError writes a line to the command's error output.
func printError(c *cli.Command, line string) {
	_, _ = fmt.Fprintln(c.Root().ErrWriter, line)
}
