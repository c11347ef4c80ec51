package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/command"
)

// runCommand runs a subcommand and returns its standard output, its error output
// and its error, which includes exit codes.
func runCommand(args ...string) (string, string, error) {
	var out, errOut bytes.Buffer
	root := command.New()
	root.Writer, root.ErrWriter = &out, &errOut
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(context.Background(), append([]string{"nutmeglock"}, args...))
	return out.String(), errOut.String(), err
}

func TestExperimentWritesJSONAndPage(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "report.json")
	page, _, err := runCommand("experiment", "--load", "flood", "--load", "quiet", "--policy", "fair", "--duration", "15s",
		"--seed", "7", "--json", file, "--page", "-", "--title", "Title")
	require.NoError(t, err)
	require.Contains(t, page, "# Title\n")
	require.Contains(t, page, "| halonen, 7 | fair |")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var report struct {
		Results []map[string]any `json:"results"`
	}
	require.NoError(t, json.Unmarshal(text, &report))
	require.Len(t, report.Results, 4)
	for _, field := range []string{"gap-tokens", "gap-multiple", "utilisation", "queue-ms", "first-token-ms", "accounts", "answers", "control"} {
		require.Contains(t, report.Results[0], field)
	}
}

func TestExperimentErrorsListValidNames(t *testing.T) {
	t.Parallel()
	_, _, err := runCommand("experiment", "--load", "x")
	require.ErrorContains(t, err, `there is no load "x"; there are burst, few-large`)
	_, _, err = runCommand("experiment", "--policy", "x")
	require.ErrorContains(t, err, `there is no policy "x"; there are fair, fcfs, static-share`)
	_, _, err = runCommand("experiment", "--routers", "9999")
	require.ErrorContains(t, err, "--routers 9999 is not between 1 and 120")
	_, _, err = runCommand("experiment", "--duration", "-1s")
	require.ErrorContains(t, err, "--duration is negative")
}

// An operator mistypes a policy. Routers use the default policy for an unknown
// name, so a report would label its results with a policy that was not measured.
func TestMeasureErrorsListValidNames(t *testing.T) {
	t.Parallel()
	_, _, err := runCommand("measure", "--load", "x")
	require.ErrorContains(t, err, `there is no load "x"; there are few-large, flood`)
	_, _, err = runCommand("measure", "--policy", "x")
	require.ErrorContains(t, err, `there is no policy "x"; there are fair, fcfs, static-share`)
}

func TestReplayChecksOutcomes(t *testing.T) {
	t.Parallel()
	const trace, outcomes = "../docs/traces/halonen.jsonl", "../docs/traces/halonen.outcomes.json"
	out, _, err := runCommand("replay", "--outcomes", outcomes, trace)
	require.NoError(t, err)
	require.Equal(t, "all outcomes hold\n", out)
	_, errOut, err := runCommand("replay", "--policy", "fcfs", "--outcomes", outcomes, trace)
	require.Error(t, err)
	require.Contains(t, errOut, "gap-multiple is ")
}

func TestReplayOfAWrongTraceNamesItsLine(t *testing.T) {
	t.Parallel()
	name := filepath.Join(t.TempDir(), "trace.jsonl")
	require.NoError(t, os.WriteFile(name, []byte("{}\n"), 0o600))
	_, _, err := runCommand("replay", name)
	require.ErrorContains(t, err, `line 1: format is ""; it has to be "nutmeglock-trace"`)
	_, _, err = runCommand("replay")
	require.ErrorContains(t, err, "name one trace")
}
