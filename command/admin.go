package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
)

// Flags and the environment variable of the commands that call a router's
// administration API.
const (
	adminFlag   = "admin"
	keyFileFlag = "operator-key-file"
	jsonFlag    = "json"

	keyVariable = "NUTMEGLOCK_OPERATOR_KEY"
)

// adminFlags returns the common flags of the commands of the administration API,
// followed by the command's own.
func adminFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: adminFlag, Usage: "administration URL of a router; if repeated, the URLs are tried in turn",
			Value: []string{"http://127.0.0.1:8082"}, Sources: cli.EnvVars("NUTMEGLOCK_ADMIN"),
		},
		&cli.StringFlag{Name: keyFileFlag, Usage: "file with the operator key; default is the environment variable " + keyVariable},
		&cli.BoolFlag{Name: jsonFlag, Usage: "print JSON instead of a table"},
	}, own...)
}

// newClient returns an administration client for the command's flags.
func newClient(c *cli.Command) (*operator.Client, error) {
	key := os.Getenv(keyVariable)
	if file := c.String(keyFileFlag); file != "" {
		data, err := os.ReadFile(filepath.Clean(file))
		if err != nil {
			return nil, cli.Exit(err.Error(), ExitUsage)
		}
		key = string(data)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return nil, cli.Exit("no operator key: give --"+keyFileFlag+" or set "+keyVariable, ExitDenied)
	}
	return operator.NewClient(key, c.StringSlice(adminFlag)...), nil
}

// queryAndPrint sends one request and prints its answer as JSON or as a table.
func queryAndPrint[M proto.Message](ctx context.Context, c *cli.Command, request func(context.Context, *operator.Client) (M, error), table func(M) string) error {
	api, err := newClient(c)
	if err != nil {
		return err
	}
	answer, err := request(ctx, api)
	if err != nil {
		return exitError(c, "", err)
	}
	if c.Bool(jsonFlag) {
		return printJSON(c, answer)
	}
	printLine(c, strings.TrimRight(table(answer), "\n"))
	return nil
}

func printJSON(c *cli.Command, m proto.Message) error {
	text, err := formatJSON(m)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	printLine(c, text)
	return nil
}

// formatJSON returns a message as indented JSON, including fields with zero values.
func formatJSON(m proto.Message) (string, error) {
	return indentJSON(protojson.MarshalOptions{EmitDefaultValues: true}, m)
}

// indentJSON returns a message as indented JSON. It does not use the indentation
// of protojson, whose whitespace varies between builds.
func indentJSON(options protojson.MarshalOptions, m proto.Message) (string, error) {
	data, err := options.Marshal(m)
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	err = json.Indent(&text, data, "", "  ")
	return text.String(), err
}

// exitError prints why a request failed and returns an error with the exit code
// for it. file is the file of the release note, if any.
func exitError(c *cli.Command, file string, err error) error {
	var responseErr *operator.ResponseError
	var unreachable *operator.UnreachableError
	var unsettled *note.UnsettledError
	var faults *document.FaultsError
	switch {
	case errors.As(err, &responseErr):
		printResponseError(c, file, responseErr)
		return cli.Exit("", exitCode(responseErr.Reason()))
	case errors.As(err, &unreachable):
		printError(c, unreachable.Error())
		printError(c, "Check --"+adminFlag+": it must be the administration URL of a running router, such as http://127.0.0.1:8082.")
		return cli.Exit("", ExitUnavailable)
	case errors.As(err, &unsettled):
		printError(c, unsettled.Error())
		printError(c, "To find out, and to publish it if it was not accepted, repeat the command with --publish-id "+string(unsettled.PublishID)+" on the same file. It is never published twice.")
		return cli.Exit("", ExitUnknown)
	case errors.As(err, &faults):
		printError(c, faults.Error())
		return cli.Exit("", ExitInvalid)
	}
	return cli.Exit(err.Error(), ExitFailed)
}

// reasonHints holds a hint for the resolution of an error, by its reason.
var reasonHints = map[operator.Reason]string{
	operator.Denied:      "The key is that of --" + keyFileFlag + ", else that of " + keyVariable + "; its hash must be one of the operator-keys in the router's settings.",
	operator.Invalid:     "Correct the file and publish it again.",
	operator.Clashing:    "Read these notes with \"nutmeglock note show VERSION\", then rewrite yours based on the newest version.",
	operator.Unavailable: "Try again later. The current state stays in force meanwhile.",
	operator.Busy:        "Try again.",
	operator.NotReady:    "Publish a first release note, or choose another router with --" + adminFlag + ".",
}

// exitCode returns the exit code for the reason of a router's error.
func exitCode(reason operator.Reason) int {
	switch reason {
	case operator.Denied:
		return ExitDenied
	case operator.Invalid, operator.BodyTooLarge:
		return ExitInvalid
	case operator.Clashing:
		return ExitClash
	case operator.Unavailable, operator.Busy, operator.NotReady:
		return ExitUnavailable
	case operator.Unsettled:
		return ExitUnknown
	}
	return ExitFailed
}

// printResponseError prints a router's error, its faults or clashes, and a hint.
func printResponseError(c *cli.Command, file string, err *operator.ResponseError) {
	printError(c, err.Error())
	for _, f := range err.Detail.GetFaults() {
		printError(c, document.Fault{
			File: file, Position: document.Position{Line: int(f.GetLine()), Column: int(f.GetColumn())},
			Path: f.GetPath(), Kind: document.FaultKind(f.GetKind()), Found: f.GetFound(), Allowed: f.GetAllowed(),
		}.String())
	}
	for _, clash := range err.Detail.GetClashes() {
		printError(c, note.Clash{
			Entry:   note.Entry{Kind: note.EntryKind(clash.GetKind()), ID: clash.GetId()},
			Version: versionOf(clash.GetVersion()), Author: clash.GetAuthor(), Summary: clash.GetSummary(),
		}.String())
	}
	if hint, ok := reasonHints[err.Reason()]; ok {
		printError(c, hint)
	}
}
