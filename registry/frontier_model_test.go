package registry_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// modelSeedsVariable names the number of seeds that the model is played with.
const modelSeedsVariable = "NUTMEGLOCK_MODEL_SEEDS"

// modelStore is the store's log of changes.
type modelStore struct {
	log      []registry.Change
	revision registry.Revision
}

// write adds a change. Other tables share the revisions, so there are gaps.
func (s *modelStore) write(random *rand.Rand, c registry.Change) {
	s.revision += registry.Revision(1 + random.IntN(3))
	c.Revision = s.revision
	s.log = append(s.log, c)
}

// latest returns the latest change of each upstream up to a revision.
func (s *modelStore) latest(upTo registry.Revision) map[fleet.UpstreamID]registry.Change {
	out := make(map[fleet.UpstreamID]registry.Change)
	for _, c := range s.log {
		if c.Revision <= upTo {
			out[c.Upstream.ID] = c
		}
	}
	return out
}

// list returns the entries as of a revision.
func (s *modelStore) list(upTo registry.Revision) []registry.Change {
	var out []registry.Change
	for _, c := range s.latest(upTo) {
		if !c.Removed {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b registry.Change) int { return int(a.Revision) - int(b.Revision) })
	return out
}

// changes returns the changes between two revisions.
func (s *modelStore) changes(after, upTo registry.Revision) []registry.Change {
	var out []registry.Change
	for _, c := range s.log {
		if c.Revision > after && c.Revision <= upTo {
			out = append(out, c)
		}
	}
	return out
}

// modelRouter is a router that reads the store by one call at a time.
type modelRouter struct {
	directory registry.Directory
	// cursor is the revision after which the router asks the store for changes, and readAll is set
	// if it has to read the whole list.
	cursor  registry.Revision
	readAll bool
	call    *modelCall
}

// modelCall is a call to the store that is answered as of a revision and arrives later.
type modelCall struct {
	whole       bool
	after, upTo registry.Revision
}

// modelAnswer is the answer of one router to another one that has not arrived yet.
type modelAnswer struct {
	to     *modelRouter
	held   registry.Revision
	answer registry.Answer
}

// model plays a store and several routers that read it and ask each other.
type model struct {
	random *rand.Rand
	now    time.Time
	store  modelStore
	// upstreams is the number of ids; with few of them an id comes and goes often.
	upstreams int
	routers   []*modelRouter
	answers   []modelAnswer
	// history has what happened.
	history []string
}

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), now: start, upstreams: 1 + int(seed%5)}
	for range 4 {
		m.routers = append(m.routers, &modelRouter{readAll: true})
	}
	return m
}

func (m *model) note(format string, values ...any) {
	m.history = append(m.history, fmt.Sprintf("%v ", m.now.Sub(start))+fmt.Sprintf(format, values...))
}

// step plays one event.
func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.random.IntN(400)) * time.Millisecond)
	i := m.random.IntN(len(m.routers))
	r := m.routers[i]
	switch event := m.random.IntN(20); {
	case event < 4:
		m.write()
	case event < 9 && r.call == nil:
		r.call = m.newCall(r)
		m.note("router %d calls the store: %+v", i, *r.call)
	case event < 9:
		m.deliver(i, r)
	case event < 11 && r.call != nil:
		m.note("router %d loses its call", i)
		r.call = nil
		r.directory.SetUnavailable(m.now)
	case event < 12:
		r.readAll = true // its history is gone
	case event < 15:
		m.ask(i, m.routers[m.random.IntN(len(m.routers))])
	case event < 18 && len(m.answers) > 0:
		m.deliverAnswer(m.random.IntN(len(m.answers)))
	default:
		r.directory.RemoveDue(m.now)
	}
}

// write changes a random upstream in the store.
func (m *model) write() {
	id := fleet.UpstreamID(fmt.Sprintf("u%d", m.random.IntN(m.upstreams)))
	c := entry(id, 0)
	current, known := m.store.latest(m.store.revision)[id]
	if known && !current.Removed {
		switch m.random.IntN(4) {
		case 0:
			c = draining(id, 0)
		case 1, 2:
			c = removal(id, 0)
		}
	}
	m.store.write(m.random, c)
	m.note("%s at %d: draining %v, gone %v", id, m.store.revision, c.Upstream.Draining, c.Removed)
}

func (m *model) newCall(r *modelRouter) *modelCall {
	return &modelCall{whole: r.readAll, after: max(r.cursor, r.directory.Position().Known), upTo: m.store.revision}
}

// deliver applies the answer to a router's call.
func (m *model) deliver(i int, r *modelRouter) {
	call := r.call
	r.call = nil
	r.directory.SetAvailable(m.now)
	if call.whole {
		r.directory.Replace(m.now, m.store.list(call.upTo), call.upTo)
		r.readAll = false
	} else if changes := m.store.changes(call.after, call.upTo); len(changes) > 0 {
		r.directory.Apply(m.now, changes)
	}
	r.cursor = max(r.cursor, call.upTo)
	r.directory.Advance(call.upTo)
	m.note("router %d gets %+v, now at %+v", i, *call, r.directory.Position())
}

// ask makes a router ask another one for what it lacks.
func (m *model) ask(i int, other *modelRouter) {
	r := m.routers[i]
	own := r.directory.Position()
	if own.NeedFrom(other.directory.Position()) == registry.NeedNothing {
		return
	}
	a := modelAnswer{to: r, held: own.Known, answer: other.directory.After(own.Known)}
	m.note("router %d asks router %d after %d: %+v", i, slices.Index(m.routers, other), a.held, a.answer)
	m.answers = append(m.answers, a)
}

func (m *model) deliverAnswer(number int) {
	a := m.answers[number]
	m.answers = slices.Delete(m.answers, number, number+1)
	a.to.directory.ApplyFromPeer(m.now, a.answer)
	m.note("router %d gets the answer after %d, now at %+v", slices.Index(m.routers, a.to), a.held, a.to.directory.Position())
}

// check fails if a router says that it is complete beyond the leaving of an upstream that is ready there, or if two
// routers contradict each other.
func (m *model) check(t *testing.T) {
	t.Helper()
	for i, r := range m.routers {
		for j, other := range m.routers {
			if own, theirs := r.directory.Position(), other.directory.Position(); own.NeedFrom(theirs) == registry.NeedRead {
				m.fail(t, "routers %d and %d contradict each other: %+v, %+v", i, j, own, theirs)
			}
		}
		truth := m.store.latest(r.directory.Position().Known)
		for _, u := range r.directory.Ready()["model"] {
			known, _ := r.directory.Get(u.ID)
			left := truth[u.ID]
			if !left.Removed && !left.Upstream.Draining || left.Revision <= known.Revision {
				continue
			}
			m.fail(t, "router %d is complete up to %d, and %s is ready of %d, which left at %d",
				i, r.directory.Position().Known, u.ID, known.Revision, left.Revision)
		}
	}
}

func (m *model) fail(t *testing.T, format string, values ...any) {
	t.Helper()
	for _, line := range m.history {
		t.Log(line)
	}
	require.Failf(t, "the list is wrong", format, values...)
}

// settle lets the first router read the changes, and the others ask it and each other. None reads the whole
// list again.
func (m *model) settle() {
	for _, r := range m.routers {
		if r.readAll && r.cursor == 0 {
			r.call = &modelCall{whole: true, upTo: m.store.revision}
			m.deliver(slices.Index(m.routers, r), r)
		}
	}
	first := m.routers[0]
	first.readAll = false
	first.call = m.newCall(first)
	m.deliver(0, first)
	m.now = m.now.Add(time.Minute)
	for _, r := range m.routers {
		r.directory.SetAvailable(m.now)
		r.directory.RemoveDue(m.now.Add(time.Minute))
	}
	for range 2 {
		for i := range m.routers {
			for _, other := range m.routers {
				m.ask(i, other)
			}
			for len(m.answers) > 0 {
				m.deliverAnswer(0)
			}
		}
	}
}

// Guards against a router that says that it has all changes up to a revision though it lacks a leaving: no router
// would ask for it again, and requests would go to an upstream that has left, for as long as nobody reads the whole
// list. Whole reads, changes and answers of other routers arrive late and in any order.
func TestRoutersThatAskEachOtherMissNoLeaving(t *testing.T) {
	t.Parallel()
	seeds := 3000
	if text := os.Getenv(modelSeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	for seed := range seeds {
		m := newModel(uint64(seed))
		for range 60 {
			m.step()
			m.check(t)
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		m.settle()
		m.check(t)
		want := make(map[fleet.UpstreamID]bool)
		for id, c := range m.store.latest(m.store.revision) {
			if !c.Removed && !c.Upstream.Draining {
				want[id] = true
			}
		}
		for i, r := range m.routers {
			got := make(map[fleet.UpstreamID]bool)
			for _, id := range ids(&r.directory) {
				got[id] = true
			}
			if !maps.Equal(want, got) {
				m.fail(t, "seed %d: router %d has %v ready, and %v are", seed, i, got, want)
			}
		}
	}
}

// Guards against a late whole read that raises the revision up to which a router has all changes to that of a
// change which another router told it meanwhile.
func TestLateWholeReadDoesNotHideALaterLeaving(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("x", 90), entry("y", 91)}, 100)
	d.ApplyFromPeer(start, told([]registry.Change{entry("z", 110)}, 106))
	d.Replace(start, []registry.Change{entry("x", 90), entry("y", 91)}, 105)
	require.Less(t, d.SettledRevision(), registry.Revision(107), "y left at 107, between the read and the change of z")
}

// Guards against a router that defers a removal which a whole read shows, and tells others that it has all changes
// up to that read.
func TestDeferredRemovalOfAWholeReadIsNotPassedOver(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("x", 90), entry("y", 91)}, 100)
	d.SetUnavailable(start)
	d.SetAvailable(start)
	d.Replace(start, []registry.Change{entry("x", 90), entry("z", 110)}, 120)
	require.Equal(t, []fleet.UpstreamID{"x", "y", "z"}, ids(&d))
	require.Less(t, d.SettledRevision(), registry.Revision(107), "y left at 107")
}

// Guards against a removal that takes effect after its deferral, and that no other router hears of.
func TestDeferredRemovalOfAWholeReadIsToldOnceItTakesEffect(t *testing.T) {
	t.Parallel()
	var d registry.Directory
	d.Replace(start, []registry.Change{entry("x", 90), entry("y", 91)}, 100)
	before := d.SettledRevision()
	d.SetUnavailable(start)
	d.SetAvailable(start)
	d.Replace(start, []registry.Change{entry("x", 90)}, 120)
	due, _ := d.NextRemoval()
	require.Len(t, d.RemoveDue(due), 1)
	require.Greater(t, d.SettledRevision(), before, "other routers ask for what is newer than they have")
}

// Guards against a removal that a whole list names and that is older than the entry known here: the entry has come again
// since and been removed again, or it would be in the list.
func TestOldRemovalInAWholeListIsNoEntryOfIt(t *testing.T) {
	t.Parallel()
	var other, d registry.Directory
	other.Replace(start, []registry.Change{entry("x", 5), entry("e", 6)}, 7)
	other.Apply(start, []registry.Change{removal("e", 8)})
	other.Replace(start, []registry.Change{entry("x", 5)}, 13) // e came again at 11 and was removed at 12

	d.Replace(start, []registry.Change{entry("x", 5)}, 5)
	d.ApplyFromPeer(start, told([]registry.Change{entry("e", 11)}, 6))
	require.Equal(t, []fleet.UpstreamID{"e", "x"}, ids(&d))
	d.ApplyFromPeer(start, other.After(6))
	require.Equal(t, []fleet.UpstreamID{"x"}, ids(&d))
	require.Equal(t, registry.Revision(13), d.Position().Known)
}

// Guards against two routers that seem to contradict each other, so that one reads the whole list from the store: one heard of
// the latest change before that which it replaces, and took it for a repetition.
func TestChangeThatSeemedToRepeatAnEarlierOneCounts(t *testing.T) {
	t.Parallel()
	var inOrder, d registry.Directory
	for _, each := range []*registry.Directory{&inOrder, &d} {
		each.Replace(start, []registry.Change{entry("x", 9)}, 14)
	}
	inOrder.Apply(start, []registry.Change{removal("x", 16), entry("x", 17)})
	d.ApplyFromPeer(start, told([]registry.Change{entry("x", 17)}, 14))
	d.Apply(start, []registry.Change{removal("x", 16), entry("x", 17)})
	require.Equal(t, inOrder.Position().Version, d.Position().Version)
	require.Equal(t, registry.Revision(17), d.Position().Version)
}
