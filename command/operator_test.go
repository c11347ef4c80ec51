package command_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/command"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

const operatorKey = "an operator's key"

type fakeState struct{}

func (fakeState) Ready() string                                        { return "" }
func (fakeState) Router() *schema.RouterState                          { return &schema.RouterState{Id: "r"} }
func (fakeState) Accounts() map[fleet.AccountID]*schema.AccountLoad    { return nil }
func (fakeState) Upstreams() map[fleet.UpstreamID]*schema.UpstreamLoad { return nil }

func (fakeState) Routers() []*schema.RouterState {
	return []*schema.RouterState{{Id: "r", DataCenter: "kuopio", State: "ready", NoteVersion: 1, Self: true}}
}

// testConsole runs operator commands against the administration API of one
// in-process router.
type testConsole struct {
	platform *memory.Platform
	url      string
	keyFile  string
}

func newConsole(t *testing.T) *testConsole {
	t.Helper()
	p := memory.New(timer.System{})
	store := note.NewStore(p, p)
	replica := note.NewReplica(note.ReplicaOptions{Self: "r", Store: store})
	server := httptest.NewServer(operator.New(operator.Options{
		Keys:  []*schema.OperatorKey{{Name: "aino", KeySha256: note.HashKey(operatorKey)}},
		Store: store, Replica: replica, State: fakeState{},
		Publisher: note.NewPublisher(note.PublisherOptions{Store: store, Replica: replica}),
	}))
	t.Cleanup(server.Close)
	keyFile := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(keyFile, []byte(operatorKey+"\n"), 0o600))
	return &testConsole{platform: p, url: server.URL, keyFile: keyFile}
}

// run runs a command against the router and returns its exit code and output.
func (c *testConsole) run(t *testing.T, input string, args ...string) (int, string) {
	t.Helper()
	args = append(append([]string{}, args[:2]...), append([]string{"--admin", c.url, "--operator-key-file", c.keyFile}, args[2:]...)...)
	return run(t, input, args...)
}

func run(t *testing.T, input string, args ...string) (int, string) {
	t.Helper()
	var output bytes.Buffer
	root := &cli.Command{
		Name: "nutmeglock", Reader: strings.NewReader(input), Writer: &output, ErrWriter: &output,
		Commands: []*cli.Command{
			command.CheckSettings(), command.Note(), command.Account(), command.Service(), command.Upstream(), command.Key(),
			{Name: "router", Commands: []*cli.Command{command.RouterList()}},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(t.Context(), append([]string{"nutmeglock"}, args...))
	if err == nil {
		return 0, output.String()
	}
	output.WriteString(err.Error())
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return exit.ExitCode(), output.String()
	}
	return command.ExitFailed, output.String()
}

const (
	firstNote = "../examples/first-note.jsonc"
	laterNote = "../examples/add-account.jsonc"
)

func TestOperatorWorkflow(t *testing.T) {
	t.Parallel()
	c := newConsole(t)
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"note", "check", firstNote}, 0, "valid against version 0"},
		{[]string{"note", "publish", firstNote}, 0, "accepted as version 1"},
		{[]string{"note", "publish", firstNote}, command.ExitInvalid, firstNote + ":14:9: added.accounts[0].id: already-exists"},
		{[]string{"note", "publish", laterNote}, 0, "accepted as version 2"},
		{[]string{"note", "history"}, 0, "aino    1      1        1          Depot joins"},
		{[]string{"note", "show", "1"}, 0, "// Version 1, by aino"},
		{[]string{"note", "show", "9"}, command.ExitFailed, "there is no release note 9"},
		{[]string{"account", "list"}, 0, "depot    1       1     all"},
		{[]string{"service", "list"}, 0, "work-orders  plain  POST"},
		{[]string{"upstream", "list"}, 0, "engine-1  findings     127.0.0.1:9001"},
		{[]string{"upstream", "list", "--json"}, 0, `"data-center": "kuopio"`},
		{[]string{"router", "list"}, 0, "r       kuopio"},
	} {
		code, output := c.run(t, "", step.args...)
		require.Equal(t, step.code, code, "%v: %s", step.args, output)
		require.Contains(t, output, step.want, "%v", step.args)
	}
}

// An operator reverts a change by editing and publishing the output of "note show".
func TestNoteShowPrintsAValidDocument(t *testing.T) {
	t.Parallel()
	c := newConsole(t)
	_, _ = c.run(t, "", "note", "publish", firstNote)
	_, shown := c.run(t, "", "note", "show", "1")
	code, output := run(t, shown, "note", "check", "--offline", "-")
	require.Zero(t, code, output)
}

// Another operator has changed the same account since the note's based-on version.
func TestAClashNamesItsAuthor(t *testing.T) {
	t.Parallel()
	c := newConsole(t)
	_, _ = c.run(t, "", "note", "publish", firstNote)
	text, err := os.ReadFile(laterNote)
	require.NoError(t, err)
	_, output := c.run(t, strings.ReplaceAll(string(text), "depot", "harbour"), "note", "publish", "-")
	require.Contains(t, output, "accepted as version 2")
	code, output := c.run(t, "", "note", "publish", laterNote)
	require.Equal(t, command.ExitClash, code)
	require.Contains(t, output, "account survey was touched by aino in version 2")
	require.Contains(t, output, "nutmeglock note show")
}

// While the platform's table or the router is down, a command must fail at once
// with ExitUnavailable, and publish must report that nothing was changed.
func TestExitCodesOfAnOutage(t *testing.T) {
	t.Parallel()
	c := newConsole(t)
	c.platform.Faults.Set(fault.Fault{Kind: fault.Down})
	code, output := c.run(t, "", "note", "publish", firstNote)
	require.Equal(t, command.ExitUnavailable, code)
	require.Contains(t, output, "changed nothing")
	code, _ = run(t, "", "account", "list", "--admin", "http://127.0.0.1:1", "--operator-key-file", c.keyFile)
	require.Equal(t, command.ExitUnavailable, code)
}

func TestWrongCommandLines(t *testing.T) {
	t.Parallel()
	c := newConsole(t)
	for _, step := range []struct {
		args []string
		code int
	}{
		{[]string{"note", "publish"}, command.ExitUsage},
		{[]string{"note", "publish", "no-such-file"}, command.ExitUsage},
		{[]string{"note", "publish", "--publish-id", "x", firstNote}, command.ExitUsage},
		{[]string{"note", "show", "x"}, command.ExitUsage},
		{[]string{"note", "publish", "../examples/router.jsonc"}, command.ExitInvalid},
	} {
		code, output := c.run(t, "", step.args...)
		require.Equal(t, step.code, code, "%v: %s", step.args, output)
	}
	code, _ := run(t, "", "account", "list")
	require.Equal(t, command.ExitDenied, code)
	code, _ = run(t, "", "check-settings")
	require.Equal(t, command.ExitUsage, code)
}

func TestCheckSettingsReportsEveryFile(t *testing.T) {
	t.Parallel()
	code, output := run(t, "", "check-settings", firstNote, "../examples/router.jsonc")
	require.Equal(t, command.ExitInvalid, code)
	require.Contains(t, output, firstNote+":")
	require.Contains(t, output, "../examples/router.jsonc: valid")
}

func TestKeys(t *testing.T) {
	t.Parallel()
	code, output := run(t, "secret\n", "key", "hash")
	require.Zero(t, code)
	require.Equal(t, note.HashKey("secret")+"\n", output)
	code, _ = run(t, "", "key", "hash")
	require.Equal(t, command.ExitUsage, code)
	_, output = run(t, "", "key", "new")
	fields := strings.Fields(output)
	require.Equal(t, note.HashKey(fields[1]), fields[3])
}
