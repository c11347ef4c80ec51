package note_test

import (
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// oracle is a simple model of the fleet state after each accepted note: a map of
// entries and the last number that was assigned.
type oracle struct {
	entries    map[note.Entry]proto.Message
	lastNumber uint32
}

func entry(kind note.EntryKind, id string) note.Entry { return note.Entry{Kind: kind, ID: id} }

func (o *oracle) apply(t require.TestingT, n *schema.ReleaseNote) {
	forEachEntry(n.GetAdded(), func(e note.Entry, m proto.Message) {
		require.NotContains(t, o.entries, e, "added an entry that exists")
		o.lastNumber++
		o.entries[e] = withNumber(m, o.lastNumber)
	})
	forEachEntry(n.GetChanged(), func(e note.Entry, m proto.Message) {
		require.Contains(t, o.entries, e, "changed an entry that does not exist")
		o.entries[e] = withNumber(m, numberOf(o.entries[e]))
	})
	for e := range withdrawnEntries(n.GetWithdrawn()) {
		require.Contains(t, o.entries, e, "withdrew an entry that does not exist")
		delete(o.entries, e)
	}
}

// checkValid checks what must hold for every accepted state.
func (o *oracle) checkValid(t require.TestingT) {
	keys, addresses := map[string]bool{}, map[string]bool{}
	for _, m := range o.entries {
		switch m := m.(type) {
		case *schema.Account:
			for _, service := range m.GetServices() {
				require.Contains(t, o.entries, entry(note.ServiceEntry, service))
			}
			for _, key := range m.GetKeySha256() {
				require.False(t, keys[key], "two accounts have the same key")
				keys[key] = true
			}
		case *schema.Upstream:
			require.Contains(t, o.entries, entry(note.ServiceEntry, m.GetService()))
			require.False(t, addresses[m.GetAddress()], "two upstreams have the same address")
			addresses[m.GetAddress()] = true
		}
	}
}

// requireEqual checks that a state is exactly the oracle's.
func (o *oracle) requireEqual(t require.TestingT, state *schema.FleetState) {
	held := map[note.Entry]proto.Message{}
	forEachEntry(&schema.Entries{Accounts: state.GetAccounts(), Services: state.GetServices(), Upstreams: state.GetUpstreams()},
		func(e note.Entry, m proto.Message) { held[e] = m })
	require.Len(t, held, len(o.entries))
	for e, m := range o.entries {
		require.True(t, proto.Equal(m, held[e]), "%v: accepted %v, held %v", e, m, held[e])
	}
	require.Equal(t, o.lastNumber, state.GetLastNumber())
}

func forEachEntry(entries *schema.Entries, do func(note.Entry, proto.Message)) {
	for _, a := range entries.GetAccounts() {
		do(entry(note.AccountEntry, a.GetId()), a)
	}
	for _, s := range entries.GetServices() {
		do(entry(note.ServiceEntry, s.GetId()), s)
	}
	for _, u := range entries.GetUpstreams() {
		do(entry(note.UpstreamEntry, u.GetId()), u)
	}
}

func withdrawnEntries(n *schema.Names) map[note.Entry]bool {
	all := map[note.Entry]bool{}
	for _, id := range n.GetAccounts() {
		all[entry(note.AccountEntry, id)] = true
	}
	for _, id := range n.GetServices() {
		all[entry(note.ServiceEntry, id)] = true
	}
	for _, id := range n.GetUpstreams() {
		all[entry(note.UpstreamEntry, id)] = true
	}
	return all
}

// modifiedEntries returns every entry that a note adds, changes or withdraws.
func modifiedEntries(n *schema.ReleaseNote) map[note.Entry]bool {
	all := withdrawnEntries(n.GetWithdrawn())
	mark := func(e note.Entry, _ proto.Message) { all[e] = true }
	forEachEntry(n.GetAdded(), mark)
	forEachEntry(n.GetChanged(), mark)
	return all
}

// modifiedOrReferenced returns the modified entries and the services that the
// definitions refer to.
func modifiedOrReferenced(n *schema.ReleaseNote) map[note.Entry]bool {
	all := modifiedEntries(n)
	for _, entries := range []*schema.Entries{n.GetAdded(), n.GetChanged()} {
		for _, a := range entries.GetAccounts() {
			for _, service := range a.GetServices() {
				all[entry(note.ServiceEntry, service)] = true
			}
		}
		for _, u := range entries.GetUpstreams() {
			all[entry(note.ServiceEntry, u.GetService())] = true
		}
	}
	return all
}

func withNumber(m proto.Message, number uint32) proto.Message {
	copied := proto.Clone(m)
	copied.ProtoReflect().Set(copied.ProtoReflect().Descriptor().Fields().ByName("number"), protoreflect.ValueOfUint32(number))
	return copied
}

func numberOf(m proto.Message) uint32 {
	return uint32(m.ProtoReflect().Get(m.ProtoReflect().Descriptor().Fields().ByName("number")).Uint())
}
