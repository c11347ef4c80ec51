package command

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/experiment"
	"nutmeglock.example/nutmeglock/trace"
)

// Replay returns the command that replays a recorded trace in virtual time with
// the real sharing decisions and checks the outcomes.
func Replay() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay a recorded trace in virtual time with the real sharing decisions",
		ArgsUsage: "TRACE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Value: experiment.Policies()[0].Name, Usage: "share capacity by `POLICY`"},
			&cli.StringFlag{Name: "outcomes", Usage: "check against the outcomes in `FILE`"},
			&cli.StringFlag{Name: "json", Usage: "write the result to `FILE` as JSON; - is standard output"},
			&cli.StringFlag{Name: "synthetic", Usage: "write the synthetic trace of `DEPLOYMENT` to TRACE instead of replaying"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cli.Exit("replay: name one trace", ExitUsage)
			}
			if c.String("synthetic") != "" {
				return writeSynthetic(c)
			}
			return replay(c)
		},
	}
}

func replay(c *cli.Command) error {
	policies, err := findByName("policy", []string{c.String("policy")}, experiment.PolicyByName, experiment.PolicyNames())
	if err != nil {
		return err
	}
	header, records, err := readTrace(c.Args().First())
	if err != nil {
		return err
	}
	result, err := experiment.Replay(header, records, policies[0])
	if err != nil {
		return err
	}
	if name := c.String("json"); name != "" {
		report := experiment.Report{Results: []experiment.Result{result}}
		if err := writeTo(c, name, report.WriteJSON); err != nil {
			return err
		}
	}
	return checkOutcomes(c, result)
}

func readTrace(name string) (trace.Header, []trace.Record, error) {
	file, err := os.Open(filepath.Clean(name))
	if err != nil {
		return trace.Header{}, nil, eris.Wrap(err, "can't read the trace")
	}
	defer file.Close()
	header, records, err := trace.ReadAll(file)
	return header, records, eris.Wrapf(err, "can't read %s", name)
}

func checkOutcomes(c *cli.Command, result experiment.Result) error {
	name := c.String("outcomes")
	if name == "" {
		return experiment.Report{Results: []experiment.Result{result}}.WritePage(c.Root().Writer, "Replay")
	}
	file, err := os.Open(filepath.Clean(name))
	if err != nil {
		return eris.Wrap(err, "can't read the outcomes")
	}
	defer file.Close()
	outcomes, err := experiment.ReadOutcomes(file)
	if err != nil {
		return err
	}
	violations := outcomes.Check(result)
	for _, violation := range violations {
		printError(c, violation.String())
	}
	if len(violations) > 0 {
		return cli.Exit("", ExitInvalid)
	}
	printLine(c, "all outcomes hold")
	return nil
}

func writeSynthetic(c *cli.Command) error {
	for _, synthetic := range experiment.SyntheticTraces() {
		if synthetic.Deployment.Name != c.String("synthetic") {
			continue
		}
		header, records := synthetic.Generate()
		return writeTo(c, c.Args().First(), func(w io.Writer) error { return trace.Write(w, header, records) })
	}
	return eris.Errorf("there is no synthetic trace %q", c.String("synthetic"))
}
