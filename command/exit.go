// Package command holds the subcommands of nutmeglock, one in each file.
package command

// Exit codes of the operators' commands.
const (
	// ExitFailed is for whatever has no code of its own.
	ExitFailed = 1
	// ExitUsage is for a wrong command line.
	ExitUsage = 2
	// ExitInvalid is for a file or a release note with faults.
	ExitInvalid = 3
	// ExitClash is for a release note that another one clashes with.
	ExitClash = 4
	// ExitUnavailable is for routers or a platform that cannot be reached;
	// nothing was changed, and a repeat later helps.
	ExitUnavailable = 5
	// ExitUnknown is for a publish of which it could not be found out whether it was accepted.
	ExitUnknown = 6
	// ExitDenied is for an operator key that is missing or not accepted.
	ExitDenied = 7
)
