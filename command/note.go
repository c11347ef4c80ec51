package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	publishIDFlag = "publish-id"
	offlineFlag   = "offline"
	beforeFlag    = "before"
	limitFlag     = "limit"
)

// Note returns the command for release notes, with the subcommands publish,
// check, show and history.
func Note() *cli.Command {
	return &cli.Command{
		Name:  "note",
		Usage: "publish, check and show release notes",
		Commands: []*cli.Command{
			{
				Name: "publish", Usage: "publish a release note", ArgsUsage: "FILE", Action: publishNote,
				Flags: adminFlags(&cli.StringFlag{Name: publishIDFlag, Usage: "publish id of an earlier attempt, to find out its outcome"}),
			},
			{
				Name: "check", Usage: "check a release note without publishing it", ArgsUsage: "FILE", Action: checkNote,
				Flags: adminFlags(&cli.BoolFlag{Name: offlineFlag, Usage: "check only the file, without a router"}),
			},
			{Name: "show", Usage: "show an accepted release note", ArgsUsage: "VERSION", Action: showNote, Flags: adminFlags()},
			{
				Name: "history", Usage: "list accepted release notes, newest first", Action: noteHistory,
				Flags: adminFlags(
					&cli.Uint64Flag{Name: beforeFlag, Usage: "list notes before this version"},
					&cli.IntFlag{Name: limitFlag, Usage: "list at most this many notes", Value: 20},
				),
			},
		},
	}
}

func versionOf(version uint64) fleet.Version { return fleet.Version(version) }

// readNoteFile reads the file of the command line, or standard input for "-", and
// validates it on its own. It returns the file name and the content.
func readNoteFile(c *cli.Command) (string, []byte, error) {
	if c.Args().Len() != 1 {
		return "", nil, cli.Exit(c.FullName()+": name one file, or - for standard input", ExitUsage)
	}
	file := c.Args().First()
	data, err := readFile(c, file)
	if err != nil {
		return "", nil, cli.Exit(err.Error(), ExitUsage)
	}
	if _, err := document.Read[*schema.ReleaseNote](file, data); err != nil {
		return "", nil, exitError(c, file, err)
	}
	return file, data, nil
}

func readFile(c *cli.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(c.Root().Reader, document.MaxBytes+1))
	}
	return os.ReadFile(filepath.Clean(file))
}

func publishNote(ctx context.Context, c *cli.Command) error {
	file, data, err := readNoteFile(c)
	if err != nil {
		return err
	}
	id := note.PublishID(c.String(publishIDFlag))
	if id == "" {
		id = note.NewPublishID()
	}
	if !id.Valid() {
		return cli.Exit("--"+publishIDFlag+" takes 32 lower-case hex digits", ExitUsage)
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	answer, err := api.Publish(ctx, data, id)
	if err != nil {
		return exitError(c, file, err)
	}
	if c.Bool(jsonFlag) {
		return printJSON(c, answer)
	}
	printLine(c, file+publishOutcome(answer, c.String(publishIDFlag) != ""))
	return nil
}

// publishOutcome describes the result of a publish. retried is set if the operator
// repeated it with the publish id of an earlier attempt.
func publishOutcome(answer *schema.PublishAnswer, retried bool) string {
	switch {
	case answer.GetAlready() && retried:
		return fmt.Sprintf(" was accepted before, as version %d; it was not published again", answer.GetVersion())
	case answer.GetAlready():
		return fmt.Sprintf(" is accepted as version %d; a reply was lost, but it was published only once", answer.GetVersion())
	}
	return fmt.Sprintf(" is accepted as version %d", answer.GetVersion())
}

func checkNote(ctx context.Context, c *cli.Command) error {
	file, data, err := readNoteFile(c)
	if err != nil {
		return err
	}
	if c.Bool(offlineFlag) {
		printLine(c, file+": valid on its own; not checked against the state in force")
		return nil
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	answer, err := api.Check(ctx, data)
	if err != nil {
		return exitError(c, file, err)
	}
	if c.Bool(jsonFlag) {
		return printJSON(c, answer)
	}
	printLine(c, fmt.Sprintf("%s: valid against version %d", file, answer.GetVersion()))
	if answer.GetClashesUnchecked() {
		printLine(c, "Clashes with notes since its based-on version were not checked: the history cannot be read now.")
	}
	return nil
}

func showNote(ctx context.Context, c *cli.Command) error {
	version, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil || c.Args().Len() != 1 {
		return cli.Exit(c.FullName()+": name one version, a whole number", ExitUsage)
	}
	return queryAndPrint(ctx, c, func(ctx context.Context, api *operator.Client) (*schema.NoteRecord, error) {
		return api.Record(ctx, version)
	}, formatRecord)
}

// formatRecord returns the release note of a record as a document that can be
// edited and published again.
func formatRecord(record *schema.NoteRecord) string {
	n := proto.CloneOf(record.GetNote())
	basedOn := ""
	if n.GetBasedOn() > 0 {
		basedOn = fmt.Sprintf(", based on version %d", n.GetBasedOn())
	}
	n.BasedOn = 0                                          // If published again, it is based on the version in force then.
	text, err := indentJSON(protojson.MarshalOptions{}, n) // Omits unset fields.
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("// Version %d, by %s, accepted %s%s\n%s", record.GetVersion(), record.GetAuthor(), acceptedTime(record), basedOn, text)
}

// acceptedTime returns the time at which a note was accepted, in RFC 3339 form.
func acceptedTime(record *schema.NoteRecord) string {
	return time.UnixMilli(record.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
}

func noteHistory(ctx context.Context, c *cli.Command) error {
	return queryAndPrint(ctx, c, func(ctx context.Context, api *operator.Client) (*schema.NoteList, error) {
		return api.History(ctx, c.Uint64(beforeFlag), c.Int(limitFlag))
	}, func(list *schema.NoteList) string {
		return formatTable("VERSION\tACCEPTED\tAUTHOR\tADDED\tCHANGED\tWITHDRAWN\tSUMMARY", func(w *tabwriter.Writer) {
			for _, record := range list.GetNotes() {
				n := record.GetNote()
				writeRow(w, record.GetVersion(), acceptedTime(record), record.GetAuthor(),
					countEntries(n.GetAdded()), countEntries(n.GetChanged()), countNames(n.GetWithdrawn()), n.GetSummary())
			}
		})
	})
}

func countEntries(e *schema.Entries) int {
	return len(e.GetAccounts()) + len(e.GetServices()) + len(e.GetUpstreams())
}

func countNames(n *schema.Names) int {
	return len(n.GetAccounts()) + len(n.GetServices()) + len(n.GetUpstreams())
}
