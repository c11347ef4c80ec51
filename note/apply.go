package note

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// GapError is the error of a record that does not follow the state it is applied to.
type GapError struct {
	Held   fleet.Version
	Record fleet.Version
}

// Error names both versions.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow version %d", e.Record, e.Held)
}

// MismatchError is the error of a record that names an entry which the state
// does not hold, or adds one that it does: record and state are not of one history.
type MismatchError struct {
	Version fleet.Version
	Entry   Entry
}

// Error names the record and the entry.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("record %d does not fit the state: %s", e.Version, e.Entry)
}

// Apply returns the state after a record, which has to be the next one. The
// state itself does not change; entries that the record does not touch are
// shared. It fails with *GapError or *MismatchError.
func Apply(state *schema.FleetState, record *schema.NoteRecord) (*schema.FleetState, error) {
	if record.GetVersion() != state.GetVersion()+1 {
		return nil, &GapError{Held: fleet.Version(state.GetVersion()), Record: fleet.Version(record.GetVersion())}
	}
	a := &applier{version: fleet.Version(record.GetVersion()), next: record.GetFirstNumber()}
	n := record.GetNote()
	after := &schema.FleetState{Version: record.GetVersion()}
	after.Accounts = apply(a, AccountEntry, state.GetAccounts(), n.GetAdded().GetAccounts(), n.GetChanged().GetAccounts(), n.GetWithdrawn().GetAccounts())
	after.Services = apply(a, ServiceEntry, state.GetServices(), n.GetAdded().GetServices(), n.GetChanged().GetServices(), n.GetWithdrawn().GetServices())
	after.Upstreams = apply(a, UpstreamEntry, state.GetUpstreams(), n.GetAdded().GetUpstreams(), n.GetChanged().GetUpstreams(), n.GetWithdrawn().GetUpstreams())
	if a.err != nil {
		return nil, a.err
	}
	after.LastNumber = max(state.GetLastNumber(), a.last)
	return after, nil
}

// applier carries what the kinds of entries share: the next number and the first error.
type applier struct {
	version fleet.Version
	next    uint32
	last    uint32
	err     error
}

func (a *applier) mismatch(kind EntryKind, id string) {
	if a.err == nil {
		a.err = &MismatchError{Version: a.version, Entry: Entry{kind, id}}
	}
}

func apply[D definition](a *applier, kind EntryKind, list, added, changed []D, gone []string) []D {
	if len(added)+len(changed)+len(gone) == 0 {
		return list
	}
	replaced := make(map[string]D, len(changed)+len(gone))
	for _, d := range changed {
		replaced[d.GetId()] = d
	}
	for _, id := range gone {
		replaced[id] = nil
	}
	fresh := make(map[string]bool, len(added))
	for _, d := range added {
		fresh[d.GetId()] = true
	}
	result := make([]D, 0, len(list)+len(added))
	for _, old := range list {
		if fresh[old.GetId()] {
			a.mismatch(kind, old.GetId())
		}
		d, ok := replaced[old.GetId()]
		delete(replaced, old.GetId())
		switch {
		case !ok:
			result = append(result, old)
		case d != nil:
			result = append(result, numbered(d, old.GetNumber()))
		}
	}
	for id := range replaced {
		a.mismatch(kind, id)
	}
	for _, d := range added {
		result = append(result, numbered(d, a.next))
		a.last = a.next
		a.next++
	}
	return result
}

// numbered returns a copy of a definition with its number.
func numbered[D definition](d D, number uint32) D {
	switch d := any(d).(type) {
	case *schema.Account:
		return any(withNumber(d, func(c *schema.Account) { c.Number = number })).(D)
	case *schema.Service:
		return any(withNumber(d, func(c *schema.Service) { c.Number = number })).(D)
	case *schema.Upstream:
		return any(withNumber(d, func(c *schema.Upstream) { c.Number = number })).(D)
	}
	return d
}

func withNumber[M proto.Message](m M, set func(M)) M {
	copied := proto.CloneOf(m)
	set(copied)
	return copied
}
