package command

import (
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// choose returns what the names stand for. Its error names the kind, and what
// there is of it.
func choose[T any](kind string, names []string, find func(name string) (T, bool), there string) ([]T, error) {
	var chosen []T
	for _, name := range names {
		one, ok := find(name)
		if !ok {
			return nil, eris.Errorf("there is no %s %q; there are %s", kind, name, there)
		}
		chosen = append(chosen, one)
	}
	return chosen, nil
}

// writeTo calls write with a file, or with standard output for "-".
func writeTo(c *cli.Command, name string, write func(io.Writer) error) error {
	if name == "-" {
		return write(c.Root().Writer)
	}
	file, err := os.Create(name) //nolint:gosec // The name is the operator's own.
	if err != nil {
		return eris.Wrap(err, "can't write the report")
	}
	if err := write(file); err != nil {
		return eris.Wrapf(errors.Join(err, file.Close()), "can't write %s", name)
	}
	return eris.Wrapf(file.Close(), "can't write %s", name)
}
