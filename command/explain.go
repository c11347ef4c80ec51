package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/explain"
)

// Explain returns the command that reconstructs the course of a request from logs.
func Explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the course of a request from routers' logs",
		ArgsUsage: "ID [FILE...]",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return cli.Exit("explain: a request id is required", ExitUsage)
			}
			e := &explain.Explainer{Request: c.Args().First(), Out: c.Root().Writer}
			if err := explainAll(e, c.Args().Tail()); err != nil {
				return err
			}
			if e.Found() > 0 {
				return nil
			}
			if err := e.PrintSummaries(); err != nil {
				return err
			}
			return cli.Exit(fmt.Sprintf("explain: no log line of request %s; the totals above, if any, may include it", e.Request), ExitFailed)
		},
	}
}

// explainAll reads the files, or standard input if there are none.
func explainAll(e *explain.Explainer, files []string) error {
	if len(files) == 0 {
		return e.Read(os.Stdin)
	}
	for _, name := range files {
		if err := explainFile(e, name); err != nil {
			return err
		}
	}
	return nil
}

func explainFile(e *explain.Explainer, name string) error {
	file, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "opening a log file")
	}
	defer func(c io.Closer) { _ = c.Close() }(file)
	return e.Read(file)
}
