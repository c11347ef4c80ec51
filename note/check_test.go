package note_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

var update = flag.Bool("update", false, "write the faults that are found into the case files")

// hashes stand in the case files for what nobody wants to read.
var hashes = strings.NewReplacer(
	"KEY1", note.HashKey("1"), "KEY2", note.HashKey("2"), "KEY3", note.HashKey("3"),
)

// accept returns the state after a note in the form of a document, which has to be sound.
func accept(t *testing.T, state *schema.FleetState, file string, data []byte) *schema.FleetState {
	t.Helper()
	d := document.Parse[*schema.ReleaseNote](file, []byte(hashes.Replace(string(data))))
	require.NoError(t, note.CheckDocument(state, d))
	after, err := note.Apply(state, &schema.NoteRecord{
		Version: state.GetVersion() + 1, Note: d.Message, FirstNumber: state.GetLastNumber() + 1,
	})
	require.NoError(t, err)
	return after
}

// Each case file holds the note that made the state, a second note, and the
// faults that are expected of it.
func TestCheckCases(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/check/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			require.Len(t, archive.Files, 3)
			state := accept(t, &schema.FleetState{}, "state", archive.Files[0].Data)
			text := hashes.Replace(string(archive.Files[1].Data))
			d := document.Parse[*schema.ReleaseNote]("note.jsonc", []byte(text))
			got := ""
			if err := note.CheckDocument(state, d); err != nil {
				var faults *document.FaultsError
				require.ErrorAs(t, err, &faults)
				got = err.Error() + "\n"
			}
			if *update {
				archive.Files[2].Data = []byte(got)
				require.NoError(t, os.WriteFile(file, txtar.Format(archive), 0o600))
				return
			}
			require.Equal(t, string(archive.Files[2].Data), got)
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	t.Parallel()
	state := &schema.FleetState{}
	for _, file := range []string{"../examples/first-note.jsonc", "../examples/add-account.jsonc"} {
		data, err := os.ReadFile(filepath.Clean(file))
		require.NoError(t, err)
		state = accept(t, state, file, data)
	}
	require.Len(t, state.GetAccounts(), 3)
	require.Len(t, state.GetUpstreams(), 2)
}
