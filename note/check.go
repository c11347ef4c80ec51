package note

import (
	"fmt"
	"strconv"
	"strings"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
)

// Document is a release note with the positions of its fields in the operator's
// file.
type Document = document.Document[*schema.ReleaseNote]

// Check returns nil when the note can be applied to the state, and otherwise
// *document.FaultsError with all faults. The faults have paths but no positions.
// The note must have been read as a document.
func Check(state *schema.FleetState, n *schema.ReleaseNote) error {
	d := &Document{Message: n, File: "release note"}
	return CheckDocument(state, d)
}

// CheckDocument is Check with positions. It also returns the faults found while
// parsing the document.
func CheckDocument(state *schema.FleetState, d *Document) error {
	c := &checker{doc: d, before: newStateIndex(state), after: newStateIndex(previewState(state, d.Message))}
	c.checkBaseVersion(state.GetVersion())
	c.checkEntries()
	c.checkReferences()
	c.checkWithdrawnServices()
	c.checkServiceKinds()
	c.checkKeys()
	c.checkAddresses()
	return d.Err()
}

// previewState returns the state after the note, ignoring faults and entry
// numbers.
func previewState(state *schema.FleetState, n *schema.ReleaseNote) *schema.FleetState {
	modified := map[Entry]bool{}
	for _, m := range modifiedEntries(n) {
		modified[m.Entry] = true
	}
	after := &schema.FleetState{}
	after.Accounts = replaceEntries(state.GetAccounts(), AccountEntry, modified, n.GetChanged().GetAccounts(), n.GetAdded().GetAccounts())
	after.Services = replaceEntries(state.GetServices(), ServiceEntry, modified, n.GetChanged().GetServices(), n.GetAdded().GetServices())
	after.Upstreams = replaceEntries(state.GetUpstreams(), UpstreamEntry, modified, n.GetChanged().GetUpstreams(), n.GetAdded().GetUpstreams())
	return after
}

// replaceEntries returns the entries without the modified ones, followed by those
// that a note changes and adds.
func replaceEntries[D definition](entries []D, kind EntryKind, modified map[Entry]bool, changed, added []D) []D {
	kept := make([]D, 0, len(entries)+len(added))
	for _, d := range entries {
		if !modified[Entry{kind, d.GetId()}] {
			kept = append(kept, d)
		}
	}
	return append(append(kept, changed...), added...)
}

// stateIndex indexes a state by the values that must be unique or that entries
// refer to.
type stateIndex struct {
	entries      map[Entry]bool
	serviceKinds map[string]string
	// referrers maps a service to the entries that refer to it.
	referrers map[string][]Entry
	// keyOwners maps the hash of a key to account ids.
	keyOwners map[string][]string
	// addressOwners maps an address to upstream ids.
	addressOwners map[string][]string
}

func newStateIndex(state *schema.FleetState) *stateIndex {
	index := &stateIndex{
		entries: make(map[Entry]bool, len(state.GetAccounts())), serviceKinds: map[string]string{}, referrers: map[string][]Entry{},
		keyOwners: make(map[string][]string, len(state.GetAccounts())), addressOwners: map[string][]string{},
	}
	for _, a := range state.GetAccounts() {
		entry := Entry{AccountEntry, a.GetId()}
		index.entries[entry] = true
		for _, service := range a.GetServices() {
			index.referrers[service] = append(index.referrers[service], entry)
		}
		for _, key := range a.GetKeySha256() {
			index.keyOwners[key] = append(index.keyOwners[key], a.GetId())
		}
	}
	for _, s := range state.GetServices() {
		index.entries[Entry{ServiceEntry, s.GetId()}] = true
		index.serviceKinds[s.GetId()] = s.GetKind()
	}
	for _, u := range state.GetUpstreams() {
		entry := Entry{UpstreamEntry, u.GetId()}
		index.entries[entry] = true
		index.referrers[u.GetService()] = append(index.referrers[u.GetService()], entry)
		index.addressOwners[u.GetAddress()] = append(index.addressOwners[u.GetAddress()], u.GetId())
	}
	return index
}

type checker struct {
	doc           *Document
	before, after *stateIndex
	suggestions   int
}

// maxSuggestions bounds how many faults get a suggestion. Each compares an id
// with those of up to 36,000 accounts, about 20 ms; a note with thousands of
// wrong ids would otherwise keep a core of the router busy for minutes.
const maxSuggestions = 10

func (c *checker) checkBaseVersion(version uint64) {
	n := c.doc.Message
	if n.GetBasedOn() > version {
		c.doc.AddFault("based-on", document.OutOfBounds, fmt.Sprint(n.GetBasedOn()), fmt.Sprintf("a version that exists; the newest is %d", version))
	}
	if len(modifiedEntries(n)) == 0 {
		c.doc.AddFault("", document.Missing, "no entry in added, changed or withdrawn", "at least one")
	}
}

// checkEntries checks that each entry occurs once, that added entries are new,
// and that changed and withdrawn ones exist.
func (c *checker) checkEntries() {
	firstPaths := map[Entry]string{}
	for _, m := range modifiedEntries(c.doc.Message) {
		if m.ID == "" {
			continue // Parsing the document has reported the missing id.
		}
		if path, ok := firstPaths[m.Entry]; ok {
			c.doc.AddFault(m.path, document.Contradiction, strconv.Quote(m.ID), "each "+string(m.Kind)+" once; this one stands at "+path+" too")
			continue
		}
		firstPaths[m.Entry] = m.path
		exists := c.before.entries[m.Entry]
		added := strings.HasPrefix(m.path, "added.")
		switch {
		case added && exists:
			c.doc.AddFault(m.path, document.AlreadyExists, strconv.Quote(m.ID), "an id that no "+string(m.Kind)+" has; use changed to change one")
		case !added && !exists:
			c.doc.AddFault(m.path, document.NotFound, strconv.Quote(m.ID), "the id of "+withArticle(m.Kind)+" in force"+c.suggest(m.Entry))
		}
	}
}

func withArticle(kind EntryKind) string {
	if kind == ServiceEntry {
		return "a service"
	}
	return "an " + string(kind)
}

// suggest returns a hint with the existing id that is most similar, or nothing.
func (c *checker) suggest(e Entry) string {
	if c.suggestions == maxSuggestions {
		return ""
	}
	c.suggestions++
	var ids []string
	for other := range c.before.entries {
		if other.Kind == e.Kind {
			ids = append(ids, other.ID)
		}
	}
	if nearest := document.Nearest(e.ID, ids); nearest != "" {
		return fmt.Sprintf("; did you mean %q?", nearest)
	}
	return ""
}

func (c *checker) checkReferences() {
	for _, m := range serviceReferences(c.doc.Message) {
		if m.ID != "" && !c.after.entries[m.Entry] {
			c.doc.AddFault(m.path, document.NotFound, strconv.Quote(m.ID), "the id of a service in force or added here"+c.suggest(m.Entry))
		}
	}
}

// maxListedEntries bounds how many entries one fault lists.
const maxListedEntries = 5

func (c *checker) checkWithdrawnServices() {
	for i, service := range c.doc.Message.GetWithdrawn().GetServices() {
		referrers := c.after.referrers[service]
		if len(referrers) == 0 {
			continue
		}
		var names []string
		for _, referrer := range referrers[:min(len(referrers), maxListedEntries)] {
			names = append(names, referrer.String())
		}
		found := strconv.Quote(service) + ", which " + strings.Join(names, ", ")
		if more := len(referrers) - len(names); more > 0 {
			found += fmt.Sprintf(" and %d more", more)
		}
		c.doc.AddFault(elementPath("withdrawn.services", i), document.StillInUse, found+" refer to", "a service that nothing refers to")
	}
}

// checkServiceKinds rejects changing a model into a plain service or back: its
// upstreams would still use the protocol of the old kind.
func (c *checker) checkServiceKinds() {
	for i, s := range c.doc.Message.GetChanged().GetServices() {
		if kind, ok := c.before.serviceKinds[s.GetId()]; ok && kind != s.GetKind() {
			c.doc.AddFault(elementPath("changed.services", i)+".kind", document.NotAllowed, strconv.Quote(s.GetKind()), "the service's kind, "+kind+", which does not change")
		}
	}
}

// checkKeys rejects a key of two accounts: a caller with this key could be
// authenticated as either.
func (c *checker) checkKeys() {
	c.forEachAccount(func(path string, a *schema.Account) {
		for j, key := range a.GetKeySha256() {
			owners := c.after.keyOwners[key]
			if len(owners) < 2 || key == "" {
				continue
			}
			c.doc.AddFault(elementPath(path+".key-sha256", j), document.Contradiction, "a key of "+otherOwners(owners, a.GetId()), "a key that is listed once")
		}
	})
}

func (c *checker) forEachAccount(do func(path string, a *schema.Account)) {
	for i, a := range c.doc.Message.GetAdded().GetAccounts() {
		do(elementPath("added.accounts", i), a)
	}
	for i, a := range c.doc.Message.GetChanged().GetAccounts() {
		do(elementPath("changed.accounts", i), a)
	}
}

// checkAddresses rejects two upstreams with one address: the server there would
// get as many requests as both have slots, twice its capacity.
func (c *checker) checkAddresses() {
	check := func(path string, upstreams []*schema.Upstream) {
		for i, u := range upstreams {
			owners := c.after.addressOwners[u.GetAddress()]
			if len(owners) < 2 || u.GetAddress() == "" {
				continue
			}
			c.doc.AddFault(elementPath(path, i)+".address", document.Contradiction, "the address of "+otherOwners(owners, u.GetId()), "an address that no other upstream has")
		}
	}
	check("added.upstreams", c.doc.Message.GetAdded().GetUpstreams())
	check("changed.upstreams", c.doc.Message.GetChanged().GetUpstreams())
}

// otherOwners returns at most maxListedEntries owners, leaving out one
// occurrence of self.
func otherOwners(owners []string, self string) string {
	var names []string
	skipped := false
	for _, owner := range owners {
		if owner == self && !skipped {
			skipped = true
			continue
		}
		if len(names) < maxListedEntries {
			names = append(names, owner)
		}
	}
	return strings.Join(names, ", ")
}

// elementPath returns the path of the element of a list.
func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
