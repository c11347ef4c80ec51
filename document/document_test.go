package document_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
)

var update = flag.Bool("update", false, "write the faults that are found into the case files")

// readByName reads a release note if the file name starts with "note", else
// router settings.
func readByName(file string, data []byte) error {
	if strings.HasPrefix(file, "note") {
		_, err := document.Read[*schema.ReleaseNote](file, data)
		return err
	}
	_, err := document.Read[*schema.RouterSettings](file, data)
	return err
}

// Each case file holds a document and its expected faults.
func TestCases(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/cases/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			require.Len(t, archive.Files, 2)
			input, faults := archive.Files[0], archive.Files[1]
			got := ""
			if err := readByName(input.Name, input.Data); err != nil {
				var typed *document.FaultsError
				require.ErrorAs(t, err, &typed)
				got = err.Error() + "\n"
			}
			if *update {
				archive.Files[1].Data = []byte(got)
				require.NoError(t, os.WriteFile(file, txtar.Format(archive), 0o600))
				return
			}
			require.Equal(t, string(faults.Data), got)
		})
	}
}

// A document of opening brackets overflows the stack of a recursive parser. That
// would crash the router, with all requests in flight.
func TestDeepNestingIsRefused(t *testing.T) {
	t.Parallel()
	err := readByName("note.jsonc", []byte(strings.Repeat("[", document.MaxBytes)))
	var typed *document.FaultsError
	require.ErrorAs(t, err, &typed)
	require.Equal(t, document.TooLarge, typed.Faults[0].Kind)
}

func TestOversizedDocumentIsRefused(t *testing.T) {
	t.Parallel()
	err := readByName("note.jsonc", make([]byte, document.MaxBytes+1))
	var typed *document.FaultsError
	require.ErrorAs(t, err, &typed)
	require.Equal(t, document.TooLarge, typed.Faults[0].Kind)
}

func TestFaultsAreBounded(t *testing.T) {
	t.Parallel()
	err := readByName("note.jsonc", []byte(`{"summary":"x",`+strings.Repeat(`"summary":"x",`, 300)+`}`))
	var typed *document.FaultsError
	require.ErrorAs(t, err, &typed)
	require.Len(t, typed.Faults, document.MaxFaults)
	require.Equal(t, 200, typed.Dropped)
}

func TestReadFillsTheMessage(t *testing.T) {
	t.Parallel()
	note, err := document.Read[*schema.ReleaseNote]("note", []byte(`{
		"summary": "s", "based-on": "18446744073709551615", // As a string, like the standard JSON form.
		"added": {"accounts": [{"id": "a", "weight": 1e2, "key-sha256": ["`+strings.Repeat("0", 64)+`"]}]},
		"withdrawn": {"upstreams": ["u", "v"]},
	}`))
	require.NoError(t, err)
	want := &schema.ReleaseNote{
		Summary: "s", BasedOn: 18446744073709551615,
		Added:     &schema.Entries{Accounts: []*schema.Account{{Id: "a", Weight: 100, KeySha256: []string{strings.Repeat("0", 64)}}}},
		Withdrawn: &schema.Names{Upstreams: []string{"u", "v"}},
	}
	require.True(t, proto.Equal(want, note), note)
}

// For any input, Read terminates and returns either a message or faults with
// positions inside the document.
func FuzzRead(f *testing.F) {
	files, err := filepath.Glob("../examples/*.jsonc")
	require.NoError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(filepath.Clean(file))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, file := range []string{"note", "settings"} {
			err := readByName(file, data)
			if err == nil {
				continue
			}
			var typed *document.FaultsError
			require.ErrorAs(t, err, &typed)
			require.NotEmpty(t, typed.Faults)
			for _, fault := range typed.Faults {
				require.LessOrEqual(t, fault.Line, 1+strings.Count(string(data), "\n"))
				require.NotEmpty(t, fault.Allowed)
			}
		}
	})
}
