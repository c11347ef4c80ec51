package command

import (
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// findByName returns the values with the given names. Its error for an unknown
// name lists the available names.
func findByName[T any](kind string, names []string, find func(name string) (T, bool), available string) ([]T, error) {
	var values []T
	for _, name := range names {
		value, ok := find(name)
		if !ok {
			return nil, eris.Errorf("there is no %s %q; there are %s", kind, name, available)
		}
		values = append(values, value)
	}
	return values, nil
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
