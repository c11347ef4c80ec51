package command

import (
	"fmt"

	"github.com/urfave/cli/v3"
)

// say writes a line to the command's output. A write that fails, such as to a
// closed pipe, leaves nobody to tell.
func say(c *cli.Command, line string) {
	_, _ = fmt.Fprintln(c.Root().Writer, line)
}

// complain writes a line to the command's error output.
func complain(c *cli.Command, line string) {
	_, _ = fmt.Fprintln(c.Root().ErrWriter, line)
}
