package command

import "github.com/urfave/cli/v3"

// New returns the command line of nutmeglock.
func New() *cli.Command {
	return &cli.Command{
		Name:  "nutmeglock",
		Usage: "a router fleet that shares model and application capacity fairly",
		Commands: []*cli.Command{
			Router(), Edge(), Explain(), Run(), CheckSettings(), Note(), Account(), Service(), Upstream(), Key(),
			StandIn(), Experiment(), Replay(), Measure(),
		},
	}
}
