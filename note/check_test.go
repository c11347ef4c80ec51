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

// keyPlaceholders replaces the placeholders of the case files by key hashes.
var keyPlaceholders = strings.NewReplacer(
	"KEY1", note.HashKey("1"), "KEY2", note.HashKey("2"), "KEY3", note.HashKey("3"),
)

// accept returns the state after a note, given as a document that must be valid.
func accept(t *testing.T, state *schema.FleetState, file string, data []byte) *schema.FleetState {
	t.Helper()
	doc := document.Parse[*schema.ReleaseNote](file, []byte(keyPlaceholders.Replace(string(data))))
	require.NoError(t, note.CheckDocument(state, doc))
	after, err := note.Apply(state, &schema.NoteRecord{
		Version: state.GetVersion() + 1, Note: doc.Message, FirstNumber: state.GetLastNumber() + 1,
	})
	require.NoError(t, err)
	return after
}

// Each case file holds the note that creates the state, the note to check, and
// the expected faults.
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
			text := keyPlaceholders.Replace(string(archive.Files[1].Data))
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
