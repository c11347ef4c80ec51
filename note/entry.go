package note

import (
	"nutmeglock.example/nutmeglock/schema"
)

// EntryKind is the kind of an entry: account, service or upstream.
type EntryKind string

// The kinds of entries.
const (
	AccountEntry  EntryKind = "account"
	ServiceEntry  EntryKind = "service"
	UpstreamEntry EntryKind = "upstream"
)

// Entry identifies one entry of the fleet state.
type Entry struct {
	Kind EntryKind
	ID   string
}

// String returns the kind and the id.
func (e Entry) String() string { return string(e.Kind) + " " + e.ID }

// definition is the constraint for the schema types of entries.
type definition interface {
	*schema.Account | *schema.Service | *schema.Upstream
	GetId() string
	GetNumber() uint32
}

// modifiedEntries returns the entries that a note adds, changes or withdraws,
// with their paths, in the order of the note.
func modifiedEntries(n *schema.ReleaseNote) []locatedEntry {
	var all []locatedEntry
	all = append(all, definedEntries("added", n.GetAdded())...)
	all = append(all, definedEntries("changed", n.GetChanged())...)
	return append(all, withdrawnEntries(n)...)
}

// locatedEntry is an entry with its path in a note.
type locatedEntry struct {
	Entry
	path string
}

func definedEntries(part string, entries *schema.Entries) []locatedEntry {
	var all []locatedEntry
	all = append(all, locateEntries(part+".accounts", AccountEntry, entries.GetAccounts())...)
	all = append(all, locateEntries(part+".services", ServiceEntry, entries.GetServices())...)
	return append(all, locateEntries(part+".upstreams", UpstreamEntry, entries.GetUpstreams())...)
}

func locateEntries[D definition](path string, kind EntryKind, definitions []D) []locatedEntry {
	all := make([]locatedEntry, 0, len(definitions))
	for i, d := range definitions {
		all = append(all, locatedEntry{Entry{kind, d.GetId()}, elementPath(path, i) + ".id"})
	}
	return all
}

func withdrawnEntries(n *schema.ReleaseNote) []locatedEntry {
	var all []locatedEntry
	for _, group := range []struct {
		kind  EntryKind
		path  string
		names []string
	}{
		{AccountEntry, "withdrawn.accounts", n.GetWithdrawn().GetAccounts()},
		{ServiceEntry, "withdrawn.services", n.GetWithdrawn().GetServices()},
		{UpstreamEntry, "withdrawn.upstreams", n.GetWithdrawn().GetUpstreams()},
	} {
		for i, name := range group.names {
			all = append(all, locatedEntry{Entry{group.kind, name}, elementPath(group.path, i)})
		}
	}
	return all
}

// serviceReferences returns the services that the accounts and upstreams of a
// note refer to, with the paths of the references.
func serviceReferences(n *schema.ReleaseNote) []locatedEntry {
	var all []locatedEntry
	for _, part := range []struct {
		name    string
		entries *schema.Entries
	}{{"added", n.GetAdded()}, {"changed", n.GetChanged()}} {
		for i, a := range part.entries.GetAccounts() {
			for j, service := range a.GetServices() {
				path := elementPath(elementPath(part.name+".accounts", i)+".services", j)
				all = append(all, locatedEntry{Entry{ServiceEntry, service}, path})
			}
		}
		for i, u := range part.entries.GetUpstreams() {
			path := elementPath(part.name+".upstreams", i) + ".service"
			all = append(all, locatedEntry{Entry{ServiceEntry, u.GetService()}, path})
		}
	}
	return all
}
