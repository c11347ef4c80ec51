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

// Flags and environment of the commands that speak to a router.
const (
	adminFlag   = "admin"
	keyFileFlag = "operator-key-file"
	jsonFlag    = "json"

	keyEnvironment = "NUTMEGLOCK_OPERATOR_KEY"
)

// adminFlags returns the flags of a command that speaks to a router, and those of its own.
func adminFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: adminFlag, Usage: "administration URL of a router; give several to try them in turn",
			Value: []string{"http://127.0.0.1:8082"}, Sources: cli.EnvVars("NUTMEGLOCK_ADMIN"),
		},
		&cli.StringFlag{Name: keyFileFlag, Usage: "file with the operator key; else the environment variable " + keyEnvironment},
		&cli.BoolFlag{Name: jsonFlag, Usage: "print JSON in place of a table"},
	}, own...)
}

// client returns the client that the flags describe.
func client(c *cli.Command) (*operator.Client, error) {
	key := os.Getenv(keyEnvironment)
	if file := c.String(keyFileFlag); file != "" {
		data, err := os.ReadFile(filepath.Clean(file))
		if err != nil {
			return nil, cli.Exit(err.Error(), ExitUsage)
		}
		key = string(data)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return nil, cli.Exit("no operator key: give --"+keyFileFlag+" or set "+keyEnvironment, ExitDenied)
	}
	return operator.NewClient(key, c.StringSlice(adminFlag)...), nil
}

// inquire makes one request and prints its answer, as JSON or by the table function.
func inquire[M proto.Message](ctx context.Context, c *cli.Command, request func(context.Context, *operator.Client) (M, error), table func(M) string) error {
	api, err := client(c)
	if err != nil {
		return err
	}
	answer, err := request(ctx, api)
	if err != nil {
		return exit(c, "", err)
	}
	if c.Bool(jsonFlag) {
		return sayJSON(c, answer)
	}
	say(c, strings.TrimRight(table(answer), "\n"))
	return nil
}

func sayJSON(c *cli.Command, m proto.Message) error {
	text, err := indented(m)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	say(c, text)
	return nil
}

// indented returns a message as JSON with all its fields.
func indented(m proto.Message) (string, error) {
	return indent(protojson.MarshalOptions{EmitDefaultValues: true}, m)
}

// indent returns a message as JSON, always with the same blanks.
func indent(options protojson.MarshalOptions, m proto.Message) (string, error) {
	data, err := options.Marshal(m)
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	err = json.Indent(&text, data, "", "  ")
	return text.String(), err
}

// exit prints why a request was not done and returns the error that ends the
// command with the code for it. File is that of the release note, if any.
func exit(c *cli.Command, file string, err error) error {
	var answered *operator.AnswerError
	var unreachable *operator.UnreachableError
	var unsettled *note.UnsettledError
	var faults *document.FaultsError
	switch {
	case errors.As(err, &answered):
		complainAnswer(c, file, answered)
		return cli.Exit("", codeOf(answered.Reason()))
	case errors.As(err, &unreachable):
		complain(c, unreachable.Error())
		complain(c, "Check --"+adminFlag+": it names the administration address of a router that runs, such as http://127.0.0.1:8082.")
		return cli.Exit("", ExitUnavailable)
	case errors.As(err, &unsettled):
		complain(c, unsettled.Error())
		complain(c, "To find out, and to publish it if it was not accepted, repeat the command with --publish-id "+string(unsettled.PublishID)+" on the same file. It is never published twice.")
		return cli.Exit("", ExitUnknown)
	case errors.As(err, &faults):
		complain(c, faults.Error())
		return cli.Exit("", ExitInvalid)
	}
	return cli.Exit(err.Error(), ExitFailed)
}

// hints say what an operator does next.
var hints = map[operator.Reason]string{
	operator.Denied:      "The key is that of --" + keyFileFlag + ", else that of " + keyEnvironment + "; its hash has to be among operator-keys in the router's settings.",
	operator.Invalid:     "Mend the file and publish it again.",
	operator.Clashing:    "Look at these notes with \"nutmeglock note show VERSION\", then write yours anew on top of the newest version.",
	operator.Unavailable: "Try again later. What is in force goes on meanwhile.",
	operator.Busy:        "Try again.",
	operator.NotReady:    "Publish a first release note, or ask another router with --" + adminFlag + ".",
}

func codeOf(reason operator.Reason) int {
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

// complainAnswer prints what a router says, with all faults or clashes.
func complainAnswer(c *cli.Command, file string, err *operator.AnswerError) {
	complain(c, err.Error())
	for _, f := range err.Detail.GetFaults() {
		complain(c, document.Fault{
			File: file, Position: document.Position{Line: int(f.GetLine()), Column: int(f.GetColumn())},
			Path: f.GetPath(), Kind: document.Kind(f.GetKind()), Found: f.GetFound(), Allowed: f.GetAllowed(),
		}.String())
	}
	for _, clash := range err.Detail.GetClashes() {
		complain(c, note.Clash{
			Entry:   note.Entry{Kind: note.EntryKind(clash.GetKind()), ID: clash.GetId()},
			Version: versionOf(clash.GetVersion()), Author: clash.GetAuthor(), Summary: clash.GetSummary(),
		}.String())
	}
	if hint, ok := hints[err.Reason()]; ok {
		complain(c, hint)
	}
}
