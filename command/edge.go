package command

import (
	"context"
	"log/slog"

	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/platform"
)

// Edge returns the command that runs one router on the users' platform.
func Edge() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run one router on the platform that " + platform.SettingsVariable + " tells of, until SIGTERM",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "verbose", Usage: "log what is only of use while developing"},
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
