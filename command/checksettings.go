package command

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/settings"
)

// CheckSettings returns the command that validates settings files of routers and
// prints their faults.
func CheckSettings() *cli.Command {
	return &cli.Command{
		Name:      "check-settings",
		Usage:     "validate settings files of routers without starting one",
		ArgsUsage: "FILE...",
		Action:    checkSettings,
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.Exit("check-settings: name at least one file", ExitUsage)
	}
	failed := false
	for _, file := range c.Args().Slice() {
		if err := checkSettingsFile(file); err != nil {
			failed = true
			printError(c, err.Error())
			continue
		}
		printLine(c, file+": valid")
	}
	if failed {
		return cli.Exit("", ExitInvalid)
	}
	return nil
}

func checkSettingsFile(file string) error {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return err
	}
	_, err = settings.Parse(file, data)
	return err
}
