package note

import (
	"nutmeglock.example/nutmeglock/schema"
)

// EntryKind tells accounts, services and upstreams apart.
type EntryKind string

// The kinds of entries.
const (
	AccountEntry  EntryKind = "account"
	ServiceEntry  EntryKind = "service"
	UpstreamEntry EntryKind = "upstream"
)

// Entry names one entry of the fleet state.
type Entry struct {
	Kind EntryKind
	ID   string
}

// String returns the kind and the id.
func (e Entry) String() string { return string(e.Kind) + " " + e.ID }

// definition is what the entries of all kinds have in common.
type definition interface {
	*schema.Account | *schema.Service | *schema.Upstream
	GetId() string
	GetNumber() uint32
}

// touched returns the entries that a note adds, changes or withdraws, in the
// order of the note, and for each its path there.
func touched(n *schema.ReleaseNote) []mention {
	var all []mention
	all = append(all, defined("added", n.GetAdded())...)
	all = append(all, defined("changed", n.GetChanged())...)
	return append(all, withdrawn(n)...)
}

// mention is an entry at a place of a note.
type mention struct {
	Entry
	path string
}

func defined(part string, entries *schema.Entries) []mention {
	var all []mention
	all = append(all, mentions(part+".accounts", AccountEntry, entries.GetAccounts())...)
	all = append(all, mentions(part+".services", ServiceEntry, entries.GetServices())...)
	return append(all, mentions(part+".upstreams", UpstreamEntry, entries.GetUpstreams())...)
}

func mentions[D definition](path string, kind EntryKind, list []D) []mention {
	all := make([]mention, 0, len(list))
	for i, d := range list {
		all = append(all, mention{Entry{kind, d.GetId()}, at(path, i) + ".id"})
	}
	return all
}

func withdrawn(n *schema.ReleaseNote) []mention {
	var all []mention
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
			all = append(all, mention{Entry{group.kind, name}, at(group.path, i)})
		}
	}
	return all
}

// references returns the services that the definitions of a note refer to.
func references(n *schema.ReleaseNote) []mention {
	var all []mention
	for _, part := range []struct {
		name    string
		entries *schema.Entries
	}{{"added", n.GetAdded()}, {"changed", n.GetChanged()}} {
		for i, a := range part.entries.GetAccounts() {
			for j, service := range a.GetServices() {
				path := at(at(part.name+".accounts", i)+".services", j)
				all = append(all, mention{Entry{ServiceEntry, service}, path})
			}
		}
		for i, u := range part.entries.GetUpstreams() {
			path := at(part.name+".upstreams", i) + ".service"
			all = append(all, mention{Entry{ServiceEntry, u.GetService()}, path})
		}
	}
	return all
}
