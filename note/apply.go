package note

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// GapError reports a record that is not the next one after the state.
type GapError struct {
	Held   fleet.Version
	Record fleet.Version
}

// Error names both versions.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow version %d", e.Record, e.Held)
}

// MismatchError reports a record that adds an entry that the state already
// holds, or changes or withdraws one that it does not. Record and state belong
// to different histories.
type MismatchError struct {
	Version fleet.Version
	Entry   Entry
}

// Error names the record and the entry.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("record %d does not match the state: %s", e.Version, e.Entry)
}

// Apply returns the state after a record, which must be the next one. It does
// not modify the given state; the new one shares its unchanged entries. It fails
// with *GapError or *MismatchError.
func Apply(state *schema.FleetState, record *schema.NoteRecord) (*schema.FleetState, error) {
	if record.GetVersion() != state.GetVersion()+1 {
		return nil, &GapError{Held: fleet.Version(state.GetVersion()), Record: fleet.Version(record.GetVersion())}
	}
	a := &applier{version: fleet.Version(record.GetVersion()), nextNumber: record.GetFirstNumber()}
	n := record.GetNote()
	after := &schema.FleetState{Version: record.GetVersion()}
	after.Accounts = applyEntries(a, AccountEntry, state.GetAccounts(), n.GetAdded().GetAccounts(), n.GetChanged().GetAccounts(), n.GetWithdrawn().GetAccounts())
	after.Services = applyEntries(a, ServiceEntry, state.GetServices(), n.GetAdded().GetServices(), n.GetChanged().GetServices(), n.GetWithdrawn().GetServices())
	after.Upstreams = applyEntries(a, UpstreamEntry, state.GetUpstreams(), n.GetAdded().GetUpstreams(), n.GetChanged().GetUpstreams(), n.GetWithdrawn().GetUpstreams())
	if a.err != nil {
		return nil, a.err
	}
	after.LastNumber = max(state.GetLastNumber(), a.lastNumber)
	return after, nil
}

// applier holds the next entry number and the first error for all kinds of
// entries.
type applier struct {
	version    fleet.Version
	nextNumber uint32
	lastNumber uint32
	err        error
}

func (a *applier) mismatch(kind EntryKind, id string) {
	if a.err == nil {
		a.err = &MismatchError{Version: a.version, Entry: Entry{kind, id}}
	}
}

// applyEntries returns the entries of one kind after a record. A nil value in
// replacements means that the entry is withdrawn.
func applyEntries[D definition](a *applier, kind EntryKind, entries, added, changed []D, withdrawn []string) []D {
	if len(added)+len(changed)+len(withdrawn) == 0 {
		return entries
	}
	replacements := make(map[string]D, len(changed)+len(withdrawn))
	for _, d := range changed {
		replacements[d.GetId()] = d
	}
	for _, id := range withdrawn {
		replacements[id] = nil
	}
	addedIDs := make(map[string]bool, len(added))
	for _, d := range added {
		addedIDs[d.GetId()] = true
	}
	result := make([]D, 0, len(entries)+len(added))
	for _, old := range entries {
		if addedIDs[old.GetId()] {
			a.mismatch(kind, old.GetId())
		}
		d, ok := replacements[old.GetId()]
		delete(replacements, old.GetId())
		switch {
		case !ok:
			result = append(result, old)
		case d != nil:
			result = append(result, cloneWithNumber(d, old.GetNumber()))
		}
	}
	for id := range replacements {
		a.mismatch(kind, id)
	}
	for _, d := range added {
		result = append(result, cloneWithNumber(d, a.nextNumber))
		a.lastNumber = a.nextNumber
		a.nextNumber++
	}
	return result
}

// cloneWithNumber returns a copy of a definition with the given number.
func cloneWithNumber[D definition](d D, number uint32) D {
	switch d := any(d).(type) {
	case *schema.Account:
		return any(cloneAndUpdate(d, func(c *schema.Account) { c.Number = number })).(D)
	case *schema.Service:
		return any(cloneAndUpdate(d, func(c *schema.Service) { c.Number = number })).(D)
	case *schema.Upstream:
		return any(cloneAndUpdate(d, func(c *schema.Upstream) { c.Number = number })).(D)
	}
	return d
}

func cloneAndUpdate[M proto.Message](m M, update func(M)) M {
	clone := proto.CloneOf(m)
	update(clone)
	return clone
}
