package command

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/experiment"
)

// Experiment returns the command that simulates loads in virtual time with the
// real sharing decisions and writes a report.
func Experiment() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "simulate seeded loads in virtual time with the real sharing decisions",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "load", Usage: "run only `LOAD`; may be repeated"},
			&cli.StringSliceFlag{Name: "policy", Usage: "run only `POLICY`; may be repeated"},
			&cli.IntSliceFlag{Name: "routers", Usage: "run fleets of `N` routers, with upstreams and accounts in today's proportion, instead of the users' deployments"},
			&cli.Uint64SliceFlag{Name: "seed", Usage: "run with `SEED`; may be repeated"},
			&cli.DurationFlag{Name: "duration", Usage: "virtual time of each run (default 2m)"},
			&cli.StringFlag{Name: "json", Usage: "write the report to `FILE` as JSON; - is standard output"},
			&cli.StringFlag{Name: "page", Usage: "write the report to `FILE` as a Markdown page; - is standard output"},
			&cli.StringFlag{Name: "title", Value: "Sharing, measured in virtual time", Usage: "title of the page"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			selected, err := experimentOptions(c)
			if err != nil {
				return err
			}
			if selected.isDefault {
				return writeReport(c, experiment.RunDefault())
			}
			return writeReport(c, experiment.Run(selected.Options))
		},
	}
}

// selection holds the options of an experiment. isDefault is set if no flag
// changes them.
type selection struct {
	experiment.Options

	isDefault bool
}

func experimentOptions(c *cli.Command) (selection, error) {
	selected := selection{Options: experiment.Options{Seeds: c.Uint64Slice("seed"), Duration: c.Duration("duration")}}
	selected.isDefault = true
	for _, name := range []string{"load", "policy", "routers", "seed", "duration"} {
		selected.isDefault = selected.isDefault && !c.IsSet(name)
	}
	if selected.Duration < 0 {
		return selected, eris.New("--duration is negative")
	}
	var err error
	selected.Loads, err = findByName("load", c.StringSlice("load"), experiment.LoadByName, experiment.LoadNames())
	if err != nil {
		return selected, err
	}
	selected.Policies, err = findByName("policy", c.StringSlice("policy"), experiment.PolicyByName, experiment.PolicyNames())
	if err != nil {
		return selected, err
	}
	for _, routers := range c.IntSlice("routers") {
		if routers < 1 || routers > experiment.MaxRouters {
			return selected, eris.Errorf("--routers %d is not between 1 and %d", routers, experiment.MaxRouters)
		}
		selected.Deployments = append(selected.Deployments, experiment.Scaled(routers))
	}
	return selected, nil
}

// writeReport writes the requested formats, by default a page to standard output.
func writeReport(c *cli.Command, report experiment.Report) error {
	page, jsonFile := c.String("page"), c.String("json")
	if page == "" && jsonFile == "" {
		page = "-"
	}
	if jsonFile != "" {
		if err := writeTo(c, jsonFile, report.WriteJSON); err != nil {
			return err
		}
	}
	if page == "" {
		return nil
	}
	return writeTo(c, page, func(w io.Writer) error { return report.WritePage(w, c.String("title")) })
}
