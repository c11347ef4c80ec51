package note

import (
	"fmt"
	"strings"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Clash is an entry over which a note conflicts with one that was accepted after
// the version that the note is based on.
type Clash struct {
	Entry Entry
	// Version, Author and Summary are those of the accepted note.
	Version fleet.Version
	Author  string
	Summary string
}

// String names the entry and who changed it in which version.
func (c Clash) String() string {
	return fmt.Sprintf("%s was touched by %s in version %d (%s)", c.Entry, c.Author, c.Version, c.Summary)
}

// ClashError reports a note that clashes with accepted ones. No part of it was
// accepted.
type ClashError struct {
	BasedOn fleet.Version
	Clashes []Clash
}

// Error lists the clashes.
func (e *ClashError) Error() string {
	lines := make([]string, 0, len(e.Clashes))
	for _, c := range e.Clashes {
		lines = append(lines, c.String())
	}
	return fmt.Sprintf("not accepted: since version %d %s", e.BasedOn, strings.Join(lines, "; "))
}

// Clashes returns the conflicts between a note and accepted records: entries
// that both modify, and services that one withdraws and the other refers to.
func Clashes(n *schema.ReleaseNote, records []*schema.NoteRecord) []Clash {
	modified, withdrawn, referenced := entrySet(modifiedEntries(n)), entrySet(withdrawnEntries(n)), entrySet(serviceReferences(n))
	var clashes []Clash
	for _, record := range records {
		seen := map[Entry]bool{}
		addCommon := func(entries []locatedEntry, ours map[Entry]bool) {
			for _, m := range entries {
				if !ours[m.Entry] || seen[m.Entry] {
					continue
				}
				seen[m.Entry] = true
				clashes = append(clashes, Clash{
					Entry: m.Entry, Version: fleet.Version(record.GetVersion()),
					Author: record.GetAuthor(), Summary: record.GetNote().GetSummary(),
				})
			}
		}
		addCommon(modifiedEntries(record.GetNote()), modified)
		addCommon(withdrawnEntries(record.GetNote()), referenced)
		addCommon(serviceReferences(record.GetNote()), withdrawn)
	}
	return clashes
}

func entrySet(entries []locatedEntry) map[Entry]bool {
	set := make(map[Entry]bool, len(entries))
	for _, m := range entries {
		set[m.Entry] = true
	}
	return set
}
