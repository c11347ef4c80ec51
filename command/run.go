package command

import "github.com/urfave/cli/v3"

// Run returns the command that runs a whole fleet on loopback in one process.
func Run() *cli.Command { return &cli.Command{Name: "run"} }
