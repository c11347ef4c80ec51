package note

import (
	"fmt"
	"strings"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Clash is an entry that a note has in common with one that was accepted since
// the version that the note is based on.
type Clash struct {
	Entry Entry
	// Version and Author are those of the accepted note.
	Version fleet.Version
	Author  string
	Summary string
}

// String names the entry and who changed it in which version.
func (c Clash) String() string {
	return fmt.Sprintf("%s was touched by %s in version %d (%s)", c.Entry, c.Author, c.Version, c.Summary)
}

// ClashError is the error of a note that clashes with accepted ones. Nothing
// of it was accepted.
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

// Clashes returns the entries that a note has in common with accepted records:
// those that both touch, and services that one withdraws and the other refers to.
func Clashes(n *schema.ReleaseNote, records []*schema.NoteRecord) []Clash {
	touches, withdraws, refers := set(touched(n)), set(withdrawn(n)), set(references(n))
	var clashes []Clash
	for _, record := range records {
		seen := map[Entry]bool{}
		add := func(mentions []mention, ours map[Entry]bool) {
			for _, m := range mentions {
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
		add(touched(record.GetNote()), touches)
		add(withdrawn(record.GetNote()), refers)
		add(references(record.GetNote()), withdraws)
	}
	return clashes
}

func set(mentions []mention) map[Entry]bool {
	entries := make(map[Entry]bool, len(mentions))
	for _, m := range mentions {
		entries[m.Entry] = true
	}
	return entries
}
