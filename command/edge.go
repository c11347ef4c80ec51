package command

import (
	"context"
	"log/slog"

	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/platform"
)

// Edge returns the command that runs one router on the platform described in the
// environment variable platform.SettingsVariable.
func Edge() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run one router on the platform described in " + platform.SettingsVariable + ", until SIGTERM",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "verbose", Usage: "log at debug level"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			level := slog.LevelInfo
			if c.Bool("verbose") {
				level = slog.LevelDebug
			}
			return platform.Run(ctx, level)
		},
	}
}
