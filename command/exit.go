// Package command contains the subcommands of nutmeglock.
package command

// Exit codes of the commands.
const (
	// ExitFailed is for all other errors.
	ExitFailed = 1
	// ExitUsage is for an invalid command line.
	ExitUsage = 2
	// ExitInvalid is for a file or a release note with faults, and for a replay
	// whose result violates an expected outcome.
	ExitInvalid = 3
	// ExitClash is for a release note that clashes with another one.
	ExitClash = 4
	// ExitUnavailable is for routers or a platform that cannot be reached, routers
	// without a release note, and a publish whose attempts all conflicted with
	// others. Nothing was changed, and the command may be repeated later.
	ExitUnavailable = 5
	// ExitUnknown is for a release note that may or may not have been accepted.
	ExitUnknown = 6
	// ExitDenied is for a missing or rejected operator key.
	ExitDenied = 7
)
