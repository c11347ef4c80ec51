package note_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

const baseNote = `{"summary": "base", "added": {
	"accounts": [{"id": "a", "key-sha256": ["KEY1"]}, {"id": "b", "key-sha256": ["KEY2"]}],
	"services": [{"id": "s", "kind": "plain"}],
	"upstreams": [{"id": "u", "service": "s", "address": "h:1", "data-center": "d", "slots": 1}],
}}`

func TestApplyCopiesOnlyChangedEntries(t *testing.T) {
	t.Parallel()
	before := accept(t, &schema.FleetState{}, "base", []byte(baseNote))
	kept := proto.CloneOf(before)
	after := accept(t, before, "change", []byte(`{"summary": "x", "changed": {"accounts": [{"id": "a", "weight": 5, "key-sha256": ["KEY1"]}]}}`))
	require.True(t, proto.Equal(kept, before))
	require.Equal(t, uint32(5), after.GetAccounts()[0].GetWeight())
	require.Equal(t, uint32(1), after.GetAccounts()[0].GetNumber())
	require.Same(t, before.GetAccounts()[1], after.GetAccounts()[1])
	require.Same(t, before.GetUpstreams()[0], after.GetUpstreams()[0])
}

// If a number were reused, a peer that is one version behind would charge the
// first account's service to the second.
func TestNumbersAreNeverReused(t *testing.T) {
	t.Parallel()
	state := accept(t, &schema.FleetState{}, "base", []byte(baseNote))
	require.Equal(t, uint32(4), state.GetLastNumber())
	state = accept(t, state, "out", []byte(`{"summary": "x", "withdrawn": {"upstreams": ["u"]}}`))
	state = accept(t, state, "in", []byte(`{"summary": "x", "added": {
		"upstreams": [{"id": "u", "service": "s", "address": "h:1", "data-center": "d", "slots": 1}]}}`))
	require.Equal(t, uint32(5), state.GetUpstreams()[0].GetNumber())
}

func TestApplyRejectsMismatchedRecords(t *testing.T) {
	t.Parallel()
	state := accept(t, &schema.FleetState{}, "base", []byte(baseNote))
	_, err := note.Apply(state, &schema.NoteRecord{Version: 3, Note: &schema.ReleaseNote{}})
	var gap *note.GapError
	require.ErrorAs(t, err, &gap)
	_, err = note.Apply(state, &schema.NoteRecord{Version: 2, Note: &schema.ReleaseNote{
		Withdrawn: &schema.Names{Accounts: []string{"unheard-of"}},
	}})
	var mismatch *note.MismatchError
	require.ErrorAs(t, err, &mismatch)
	require.Equal(t, note.Entry{Kind: note.AccountEntry, ID: "unheard-of"}, mismatch.Entry)
}

func TestClashesNameEntryAuthorAndVersion(t *testing.T) {
	t.Parallel()
	accepted := []*schema.NoteRecord{
		{Version: 7, Author: "aino", Note: &schema.ReleaseNote{Summary: "a", Changed: &schema.Entries{Accounts: []*schema.Account{{Id: "a"}}}}},
		{Version: 8, Author: "juma", Note: &schema.ReleaseNote{Summary: "s", Withdrawn: &schema.Names{Services: []string{"s"}, Accounts: []string{"z"}}}},
	}
	ours := &schema.ReleaseNote{
		Changed: &schema.Entries{Accounts: []*schema.Account{{Id: "a"}}},
		Added:   &schema.Entries{Upstreams: []*schema.Upstream{{Id: "u", Service: "s"}}},
	}
	require.Equal(t, []note.Clash{
		{Entry: note.Entry{Kind: note.AccountEntry, ID: "a"}, Version: 7, Author: "aino", Summary: "a"},
		{Entry: note.Entry{Kind: note.ServiceEntry, ID: "s"}, Version: 8, Author: "juma", Summary: "s"},
	}, note.Clashes(ours, accepted))
	require.Empty(t, note.Clashes(&schema.ReleaseNote{Withdrawn: &schema.Names{Accounts: []string{"b"}}}, accepted))
}
