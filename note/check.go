package note

import (
	"fmt"
	"strconv"
	"strings"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
)

// Document is a release note as an operator wrote it.
type Document = document.Document[*schema.ReleaseNote]

// Check returns nil when the note can be applied to the state, else
// *document.FaultsError with everything that is wrong. The faults have paths
// but no positions. It takes for granted that the note was read as a document.
func Check(state *schema.FleetState, n *schema.ReleaseNote) error {
	d := &Document{Message: n, File: "release note"}
	return CheckDocument(state, d)
}

// CheckDocument is Check with positions. It returns the faults that reading
// the document found too.
func CheckDocument(state *schema.FleetState, d *Document) error {
	c := &checker{d: d, before: index(state), after: index(preview(state, d.Message))}
	c.base(state.GetVersion())
	c.mentions()
	c.references()
	c.withdrawnServices()
	c.kinds()
	c.keys()
	c.addresses()
	return d.Err()
}

// preview returns the state after the note, without regard to faults and numbers.
func preview(state *schema.FleetState, n *schema.ReleaseNote) *schema.FleetState {
	gone := map[Entry]bool{}
	for _, m := range touched(n) {
		gone[m.Entry] = true
	}
	after := &schema.FleetState{}
	after.Accounts = replace(state.GetAccounts(), AccountEntry, gone, n.GetChanged().GetAccounts(), n.GetAdded().GetAccounts())
	after.Services = replace(state.GetServices(), ServiceEntry, gone, n.GetChanged().GetServices(), n.GetAdded().GetServices())
	after.Upstreams = replace(state.GetUpstreams(), UpstreamEntry, gone, n.GetChanged().GetUpstreams(), n.GetAdded().GetUpstreams())
	return after
}

func replace[D definition](list []D, kind EntryKind, gone map[Entry]bool, changed, added []D) []D {
	kept := make([]D, 0, len(list)+len(added))
	for _, d := range list {
		if !gone[Entry{kind, d.GetId()}] {
			kept = append(kept, d)
		}
	}
	return append(append(kept, changed...), added...)
}

// stateIndex finds entries of a state by what has to be unique or is referred to.
type stateIndex struct {
	entries map[Entry]bool
	kinds   map[string]string
	// users lists which entries refer to a service.
	users     map[string][]Entry
	keys      map[string][]string
	addresses map[string][]string
}

func index(state *schema.FleetState) *stateIndex {
	x := &stateIndex{
		entries: make(map[Entry]bool, len(state.GetAccounts())), kinds: map[string]string{}, users: map[string][]Entry{},
		keys: make(map[string][]string, len(state.GetAccounts())), addresses: map[string][]string{},
	}
	for _, a := range state.GetAccounts() {
		entry := Entry{AccountEntry, a.GetId()}
		x.entries[entry] = true
		for _, service := range a.GetServices() {
			x.users[service] = append(x.users[service], entry)
		}
		for _, key := range a.GetKeySha256() {
			x.keys[key] = append(x.keys[key], a.GetId())
		}
	}
	for _, s := range state.GetServices() {
		x.entries[Entry{ServiceEntry, s.GetId()}] = true
		x.kinds[s.GetId()] = s.GetKind()
	}
	for _, u := range state.GetUpstreams() {
		entry := Entry{UpstreamEntry, u.GetId()}
		x.entries[entry] = true
		x.users[u.GetService()] = append(x.users[u.GetService()], entry)
		x.addresses[u.GetAddress()] = append(x.addresses[u.GetAddress()], u.GetId())
	}
	return x
}

type checker struct {
	d             *Document
	before, after *stateIndex
	suggested     int
}

// maxSuggested bounds how many faults get a suggestion. Each compares an id
// with those of up to 36,000 accounts, about 20 ms, so that a note with
// thousands of wrong ids would keep a core of the router busy for minutes.
const maxSuggested = 10

func (c *checker) base(version uint64) {
	n := c.d.Message
	if n.GetBasedOn() > version {
		c.d.Add("based-on", document.OutOfBounds, fmt.Sprint(n.GetBasedOn()), fmt.Sprintf("a version that exists; the newest is %d", version))
	}
	if len(touched(n)) == 0 {
		c.d.Add("", document.Missing, "no entry in added, changed or withdrawn", "at least one")
	}
}

// mentions checks that each entry is named once, and that added ones are new
// and the others exist.
func (c *checker) mentions() {
	first := map[Entry]string{}
	for _, m := range touched(c.d.Message) {
		if m.ID == "" {
			continue // Missing, which reading the document reported.
		}
		if path, ok := first[m.Entry]; ok {
			c.d.Add(m.path, document.Contradiction, strconv.Quote(m.ID), "each "+string(m.Kind)+" once; this one stands at "+path+" too")
			continue
		}
		first[m.Entry] = m.path
		exists := c.before.entries[m.Entry]
		added := strings.HasPrefix(m.path, "added.")
		switch {
		case added && exists:
			c.d.Add(m.path, document.AlreadyExists, strconv.Quote(m.ID), "an id that no "+string(m.Kind)+" has; use changed to change one")
		case !added && !exists:
			c.d.Add(m.path, document.NotFound, strconv.Quote(m.ID), "the id of "+article(m.Kind)+" in force"+c.suggest(m.Entry))
		}
	}
}

func article(kind EntryKind) string {
	if kind == ServiceEntry {
		return "a service"
	}
	return "an " + string(kind)
}

// suggest returns a hint with an existing id that differs by little.
func (c *checker) suggest(e Entry) string {
	if c.suggested == maxSuggested {
		return ""
	}
	c.suggested++
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

func (c *checker) references() {
	for _, m := range references(c.d.Message) {
		if m.ID != "" && !c.after.entries[m.Entry] {
			c.d.Add(m.path, document.NotFound, strconv.Quote(m.ID), "the id of a service in force or added here"+c.suggest(m.Entry))
		}
	}
}

// maxNamed bounds how many entries one fault names.
const maxNamed = 5

func (c *checker) withdrawnServices() {
	for i, service := range c.d.Message.GetWithdrawn().GetServices() {
		users := c.after.users[service]
		if len(users) == 0 {
			continue
		}
		var names []string
		for _, user := range users[:min(len(users), maxNamed)] {
			names = append(names, user.String())
		}
		found := strconv.Quote(service) + ", which " + strings.Join(names, ", ")
		if more := len(users) - len(names); more > 0 {
			found += fmt.Sprintf(" and %d more", more)
		}
		c.d.Add(at("withdrawn.services", i), document.StillInUse, found+" refer to", "a service that nothing refers to")
	}
}

// kinds refuses to turn a model into a plain service or back: its upstreams
// would go on speaking the other protocol.
func (c *checker) kinds() {
	for i, s := range c.d.Message.GetChanged().GetServices() {
		if kind, ok := c.before.kinds[s.GetId()]; ok && kind != s.GetKind() {
			c.d.Add(at("changed.services", i)+".kind", document.NotAllowed, strconv.Quote(s.GetKind()), "the service's kind, "+kind+", which does not change")
		}
	}
}

// keys refuses a key that two accounts share: a caller who presents it would
// be taken for either.
func (c *checker) keys() {
	c.accounts(func(path string, a *schema.Account) {
		for j, key := range a.GetKeySha256() {
			owners := c.after.keys[key]
			if len(owners) < 2 || key == "" {
				continue
			}
			c.d.Add(at(path+".key-sha256", j), document.Contradiction, "a key of "+others(owners, a.GetId()), "a key that is listed once")
		}
	})
}

func (c *checker) accounts(each func(path string, a *schema.Account)) {
	for i, a := range c.d.Message.GetAdded().GetAccounts() {
		each(at("added.accounts", i), a)
	}
	for i, a := range c.d.Message.GetChanged().GetAccounts() {
		each(at("changed.accounts", i), a)
	}
}

// addresses refuses two upstreams at one address: each would be sent its full
// number of requests, so that the one behind them gets twice what it takes.
func (c *checker) addresses() {
	check := func(part string, upstreams []*schema.Upstream) {
		for i, u := range upstreams {
			owners := c.after.addresses[u.GetAddress()]
			if len(owners) < 2 || u.GetAddress() == "" {
				continue
			}
			c.d.Add(at(part, i)+".address", document.Contradiction, "the address of "+others(owners, u.GetId()), "an address that no other upstream has")
		}
	}
	check("added.upstreams", c.d.Message.GetAdded().GetUpstreams())
	check("changed.upstreams", c.d.Message.GetChanged().GetUpstreams())
}

// others returns the owners except one mention of self.
func others(owners []string, self string) string {
	var names []string
	skipped := false
	for _, owner := range owners {
		if owner == self && !skipped {
			skipped = true
			continue
		}
		if len(names) < maxNamed {
			names = append(names, owner)
		}
	}
	return strings.Join(names, ", ")
}

// at returns the path of an element.
func at(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
