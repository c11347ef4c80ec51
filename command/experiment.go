package command

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/experiment"
)

// Experiment returns the command that plays loads through the decisions in
// virtual time and writes what came out.
func Experiment() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "play seeded loads through the sharing decisions in virtual time",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "load", Usage: "play only `LOAD`; may be repeated"},
			&cli.StringSliceFlag{Name: "policy", Usage: "play only `POLICY`; may be repeated"},
			&cli.IntSliceFlag{Name: "routers", Usage: "play fleets of `N` routers in today's proportion instead of the users' deployments"},
			&cli.Uint64SliceFlag{Name: "seed", Usage: "play with `SEED`; may be repeated"},
			&cli.DurationFlag{Name: "duration", Usage: "virtual time of each run (default 2m)"},
			&cli.StringFlag{Name: "json", Usage: "write the report to `FILE` as JSON; - is standard output"},
			&cli.StringFlag{Name: "page", Usage: "write the report to `FILE` as a Markdown page; - is standard output"},
			&cli.StringFlag{Name: "title", Value: "Sharing, measured in virtual time", Usage: "title of the page"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			options, err := experimentOptions(c)
			if err != nil {
				return err
			}
			if options.isDefault {
				return writeReport(c, experiment.Default())
			}
			return writeReport(c, experiment.Run(options.Options))
		},
	}
}

// selection is what to play; isDefault means that nothing was selected.
type selection struct {
	experiment.Options

	isDefault bool
}

func experimentOptions(c *cli.Command) (selection, error) {
	options := selection{Options: experiment.Options{Seeds: c.Uint64Slice("seed"), Duration: c.Duration("duration")}}
	options.isDefault = true
	for _, name := range []string{"load", "policy", "routers", "seed", "duration"} {
		options.isDefault = options.isDefault && !c.IsSet(name)
	}
	if options.Duration < 0 {
		return options, eris.New("--duration is negative")
	}
	var err error
	options.Loads, err = choose("load", c.StringSlice("load"), experiment.LoadByName, experiment.LoadNames())
	if err != nil {
		return options, err
	}
	options.Policies, err = choose("policy", c.StringSlice("policy"), experiment.PolicyByName, experiment.PolicyNames())
	if err != nil {
		return options, err
	}
	for _, routers := range c.IntSlice("routers") {
		if routers < 1 || routers > experiment.MaxRouters {
			return options, eris.Errorf("--routers %d is not between 1 and %d", routers, experiment.MaxRouters)
		}
		options.Deployments = append(options.Deployments, experiment.Scaled(routers))
	}
	return options, nil
}

// writeReport writes the forms that were asked for, or the page to standard
// output when none was.
func writeReport(c *cli.Command, report experiment.Report) error {
	page, file := c.String("page"), c.String("json")
	if page == "" && file == "" {
		page = "-"
	}
	if file != "" {
		if err := writeTo(c, file, report.WriteJSON); err != nil {
			return err
		}
	}
	if page == "" {
		return nil
	}
	return writeTo(c, page, func(w io.Writer) error { return report.WritePage(w, c.String("title")) })
}
