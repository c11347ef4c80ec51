package command

import (
	"context"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/live"
)

// measureTimeout limits the duration of a whole measurement.
const measureTimeout = 10 * time.Minute

// Measure returns the command that runs loads through real routers on loopback
// and reports measurements.
func Measure() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run loads through real routers on loopback and report fairness, utilisation and control traffic",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "routers", Usage: "number of routers (default 6)"},
			&cli.IntFlag{Name: "engines", Usage: "number of engines (default 10)"},
			&cli.DurationFlag{Name: "duration", Usage: "measured time of each run (default 10s)"},
			&cli.DurationFlag{Name: "warmup", Usage: "time before the measured time of each run (default 6s)"},
			&cli.StringSliceFlag{Name: "load", Usage: "run this load; may be repeated (default few-large and flood)"},
			&cli.StringSliceFlag{Name: "policy", Usage: "run only this policy; may be repeated"},
			&cli.StringFlag{Name: "json", Usage: "write the report as JSON to `FILE`, - for standard output"},
			&cli.StringFlag{Name: "page", Usage: "write the report as Markdown to `FILE`", Value: "-"},
		},
		Action: measure,
	}
}

func measure(ctx context.Context, c *cli.Command) error {
	ctx, unregister := signal.NotifyContext(ctx, stopSignals()...)
	defer unregister()
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	options := live.Options{
		Routers: c.Int("routers"), Engines: c.Int("engines"),
		Duration: c.Duration("duration"), Warmup: c.Duration("warmup"),
	}
	var err error
	options.Loads, err = findByName("load", c.StringSlice("load"), live.LoadByName, live.LoadNames())
	if err != nil {
		return err
	}
	options.Policies, err = findByName("policy", c.StringSlice("policy"), live.PolicyByName, live.PolicyNames())
	if err != nil {
		return err
	}
	report, err := live.Run(ctx, options)
	if err != nil {
		return err
	}
	if name := c.String("json"); name != "" {
		if err := writeTo(c, name, report.WriteJSON); err != nil {
			return err
		}
	}
	return writeTo(c, c.String("page"), report.WritePage)
}
