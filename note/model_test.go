package note_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
)

// model drives three routers, their operators and a platform with faults, and
// knows what must be true after each step.
type model struct {
	*routers
	testing *testing.T
	down    bool

	// accepted is the history as far as it was seen, which never changes.
	accepted []*schema.NoteRecord
	states   []*oracle
	// held is the version of each router, which only a restart lowers.
	held []fleet.Version
	// wishes are all publishes; refused ones must never come true.
	wishes  []*wish
	outcome map[string]int
	// snapshot is the version of the newest snapshot that the head named.
	snapshot uint64
	steps    *int
}

type wish struct {
	id    note.PublishID
	note  *schema.ReleaseNote
	tried bool
	// refused is true while the last word on the wish is that nothing was accepted.
	refused bool
	// version is that of the acceptance, once the operator was told.
	version uint64
	// before is the length of the history when it was last tried. A note that
	// names no version is compared with what is accepted during the try.
	before int
}

// What the operators and the platform do: all of it in any order, one fault
// upon another.
//
// An operator publishes while the platform loses the reply, answers with old
// rows, takes the write late, or goes down; another operator publishes in the
// middle of it; routers restart with nothing, are cut off and come back. A user
// would notice a fault here as a setting that comes back after it was changed,
// a note that was accepted and is not in force, an account that exists twice,
// or routers that treat one caller differently.
func TestNotesUnderEveryFault(t *testing.T) {
	t.Parallel()
	steps := 0
	outcome := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{
			routers: newRouters(3), testing: t, held: make([]fleet.Version, 3), outcome: outcome, steps: &steps,
			states: []*oracle{{entries: map[note.Entry]proto.Message{}}},
		}
		rt.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "repeat": m.repeat, "poll": m.poll, "follow": m.follow,
			"restart": m.restart, "cut": m.cut, "pass time": m.passTime, "outage": m.outage, "": m.check,
		})
	})
	t.Logf("%d steps, publishes: %v", steps, outcome)
	require.GreaterOrEqual(t, steps, 10_000)
	for _, kind := range []string{"accepted", "already", "clash", "faults", "unavailable", "unsettled", "snapshot"} {
		require.NotZero(t, outcome[kind], kind)
	}
}

func (m *model) any(t *rapid.T) (int, *router) {
	i := rapid.IntRange(0, len(m.all)-1).Draw(t, "router")
	return i, m.all[i]
}

var ids = rapid.SampledFrom([]string{"a", "b", "c"})

// draw returns a note that is mostly sound for the newest state.
func (m *model) draw(t *rapid.T) *schema.ReleaseNote {
	newest := m.states[len(m.states)-1]
	n := &schema.ReleaseNote{Summary: "s", Added: &schema.Entries{}, Changed: &schema.Entries{}, Withdrawn: &schema.Names{}}
	if rapid.Bool().Draw(t, "based") {
		n.BasedOn = uint64(rapid.IntRange(max(0, len(m.accepted)-2), len(m.accepted)).Draw(t, "based-on"))
	}
	for range rapid.IntRange(1, 2).Draw(t, "entries") {
		kind := rapid.SampledFrom([]note.EntryKind{note.AccountEntry, note.ServiceEntry, note.UpstreamEntry}).Draw(t, "kind")
		id := ids.Draw(t, "id")
		_, exists := newest.entries[entry(kind, id)]
		switch {
		case !exists:
			m.define(t, n.GetAdded(), kind, id)
		case rapid.Bool().Draw(t, "change"):
			m.define(t, n.GetChanged(), kind, id)
		case kind == note.AccountEntry:
			n.Withdrawn.Accounts = append(n.Withdrawn.Accounts, id)
		case kind == note.ServiceEntry:
			n.Withdrawn.Services = append(n.Withdrawn.Services, id)
		default:
			n.Withdrawn.Upstreams = append(n.Withdrawn.Upstreams, id)
		}
	}
	return n
}

func (m *model) define(t *rapid.T, to *schema.Entries, kind note.EntryKind, id string) {
	size := rapid.Uint32Range(1, 9).Draw(t, "size")
	switch kind {
	case note.AccountEntry:
		key := note.HashKey(rapid.SampledFrom([]string{id, id + "2", "shared"}).Draw(t, "key"))
		to.Accounts = append(to.Accounts, &schema.Account{Id: id, Weight: size, KeySha256: []string{key}})
	case note.ServiceEntry:
		to.Services = append(to.Services, &schema.Service{Id: id, Kind: "plain", CallCost: size})
	case note.UpstreamEntry:
		to.Upstreams = append(to.Upstreams, &schema.Upstream{Id: id, Service: ids.Draw(t, "service"), Address: id + ":1", DataCenter: "d", Slots: size})
	}
}

// faults puts a few faults in force for the next operations.
func (m *model) faults(t *rapid.T) {
	m.platform.Faults.Set()
	if m.down {
		m.platform.Faults.Set(fault.Fault{Kind: fault.Down})
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		f := fault.Fault{
			Kind: rapid.SampledFrom([]fault.Kind{
				fault.Down, fault.ReplyLost, fault.RequestLost, fault.Late, fault.Late, fault.Stale, fault.Stale,
			}).Draw(t, "fault"),
			Operation: rapid.SampledFrom([]string{"read", "scan", "commit", "commit", "put", "get"}).Draw(t, "operation"),
			Times:     rapid.SampledFrom([]int{1, 1, 2, 20}).Draw(t, "times"),
			Commits:   rapid.IntRange(1, 4).Draw(t, "commits"),
		}
		if f.Kind == fault.Late && (f.Operation == "commit" || f.Operation == "put") {
			f.DelayMs = rapid.SampledFrom([]int{60, 2000, 60_000}).Draw(t, "delay")
		}
		m.platform.Faults.Add(f)
	}
}

func (m *model) publish(t *rapid.T) {
	_, one := m.any(t)
	w := m.wish(t)
	if rapid.IntRange(0, 2).Draw(t, "race") == 0 {
		_, other := m.any(t)
		rival := m.wish(t)
		one.table.skip = rapid.IntRange(0, 2).Draw(t, "skip")
		one.table.before = func() {
			m.see(t)
			m.send(t, other, rival)
		}
	}
	m.faults(t)
	m.send(t, one, w)
	one.table.before = nil
}

func (m *model) wish(t *rapid.T) *wish {
	id := note.PublishID(fmt.Sprintf("%032x", len(m.wishes)+1))
	w := &wish{id: id, note: m.draw(t), before: len(m.accepted)}
	m.wishes = append(m.wishes, w)
	return w
}

func (m *model) repeat(t *rapid.T) {
	if len(m.wishes) == 0 {
		t.Skip("nothing was published")
	}
	_, one := m.any(t)
	m.faults(t)
	m.send(t, one, rapid.SampledFrom(m.wishes).Draw(t, "wish"))
}

// send publishes and checks what the operator is told.
func (m *model) send(t *rapid.T, one *router, w *wish) {
	w.before = len(m.accepted)
	accepted, err := one.publisher.Publish(m.testing.Context(), w.note, "operator", w.id)
	m.see(t)
	first := !w.tried
	w.tried = true
	if err == nil {
		m.told(t, w, accepted)
		return
	}
	var clash *note.ClashError
	var faults *document.FaultsError
	var busy *note.BusyError
	var unavailable *store.UnavailableError
	var unsettled *note.UnsettledError
	switch {
	case errors.As(err, &unsettled):
		m.outcome["unsettled"]++
		w.refused = false
	case errors.As(err, &clash):
		m.outcome["clash"]++
		m.denied(t, w, err)
		for _, c := range clash.Clashes {
			require.Contains(t, touchesOrRefers(m.accepted[c.Version-1].GetNote()), c.Entry)
		}
	case errors.As(err, &faults):
		m.outcome["faults"]++
		m.denied(t, w, err)
		m.refusedRightly(t, w)
	case errors.As(err, &busy):
		m.outcome["busy"]++
		w.refused = w.refused || first // A later try had no effect, which says nothing of the earlier ones.
	case errors.As(err, &unavailable):
		m.outcome["unavailable"]++
		w.refused = w.refused || first
	default:
		require.NoError(t, err, "an error of no known type")
	}
}

// denied notes that a publish was refused for good: no try of it was accepted or can be any more.
func (m *model) denied(t *rapid.T, w *wish, err error) {
	require.Zero(t, w.version, "an accepted publish was denied later: %v", err)
	w.refused = true
}

func (m *model) told(t *rapid.T, w *wish, accepted note.Accepted) {
	m.outcome["accepted"]++
	if accepted.Already {
		m.outcome["already"]++
	}
	w.refused = false
	version := accepted.Record.GetVersion()
	require.LessOrEqual(t, version, uint64(len(m.accepted)), "told of a note that was not accepted")
	require.True(t, proto.Equal(m.accepted[version-1], accepted.Record))
	require.Equal(t, string(w.id), accepted.Record.GetPublishId())
	if w.version != 0 {
		require.Equal(t, w.version, version)
	}
	w.version = version
}

// refusedRightly checks that a note with faults had them at some state that was
// the newest one during the publish, and not only in an old row.
func (m *model) refusedRightly(t *rapid.T, w *wish) {
	state := &schema.FleetState{}
	for i := 0; ; i++ {
		if i >= w.before && note.Check(state, w.note) != nil {
			return
		}
		if i == len(m.accepted) {
			break
		}
		var err error
		state, err = note.Apply(state, m.accepted[i])
		require.NoError(t, err)
	}
	require.Fail(t, "a sound note was refused", "%v", w.note)
}

func (m *model) poll(t *rapid.T) {
	_, one := m.any(t)
	m.faults(t)
	_ = one.holder.Refresh(m.testing.Context()) // A failed poll is one of the faults.
}

func (m *model) follow(t *rapid.T) {
	_, one := m.any(t)
	m.faults(t)
	_ = one.holder.FollowHeard(m.testing.Context()) // So is this.
}

func (m *model) restart(t *rapid.T) {
	i, _ := m.any(t)
	m.start(i)
	m.held[i] = 0
}

func (m *model) cut(t *rapid.T) {
	_, one := m.any(t)
	m.quiet[one.id] = !m.quiet[one.id]
}

func (m *model) outage(t *rapid.T) {
	m.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
}

func (m *model) passTime(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 70).Draw(t, "seconds")) * time.Second)
}

// see reads the history and checks that it only grew, and soundly.
func (m *model) see(t *rapid.T) {
	records := m.truth(t)
	require.GreaterOrEqual(t, len(records), len(m.accepted), "an accepted note was lost")
	for i, record := range records {
		if i < len(m.accepted) {
			require.True(t, proto.Equal(m.accepted[i], record), "an accepted note changed")
			continue
		}
		m.accepted = append(m.accepted, record)
		next := &oracle{entries: map[note.Entry]proto.Message{}, number: m.states[i].number}
		for e, definition := range m.states[i].entries {
			next.entries[e] = definition
		}
		next.apply(t, record.GetNote())
		next.sound(t)
		m.states = append(m.states, next)
	}
}

// truth is all that was accepted, read from the platform without faults.
func (m *model) truth(t *rapid.T) []*schema.NoteRecord {
	faults := m.platform.Faults.All()
	m.platform.Faults.Set()
	defer m.platform.Faults.Set(faults...)
	store := note.NewStore(m.platform, m.platform)
	head, err := store.Head(m.testing.Context())
	require.NoError(t, err)
	records, err := store.Records(m.testing.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(len(records)), head.GetVersion(), "the head is not that of the newest note")
	m.seeSnapshot(t, store, head.GetSnapshotVersion())
	return records
}

// seeSnapshot checks that the snapshot that the head names exists and is right.
func (m *model) seeSnapshot(t *rapid.T, store *note.Store, version uint64) {
	require.GreaterOrEqual(t, version, m.snapshot, "the head went back to an older snapshot")
	if version == m.snapshot || version >= uint64(len(m.states)) {
		return // The next call sees it, when the history up to there is known.
	}
	state, err := store.Snapshot(m.testing.Context(), fleet.Version(version))
	require.NoError(t, err, "the head names a snapshot that does not exist")
	m.states[version].equal(t, state)
	m.outcome["snapshot"]++
	m.snapshot = version
}

// check is what holds after each step.
func (m *model) check(t *rapid.T) {
	*m.steps++
	m.see(t)
	once := map[string]uint64{}
	for _, record := range m.accepted {
		require.NotContains(t, once, record.GetPublishId(), "one publish accepted twice")
		once[record.GetPublishId()] = record.GetVersion()
	}
	for _, w := range m.wishes {
		version, ok := once[string(w.id)]
		require.False(t, w.refused && ok, "publish %s was refused and came true as version %d", w.id, version)
		if ok {
			m.noLostUpdate(t, w, version)
		}
	}
	for i, one := range m.all {
		version := one.holder.Version()
		require.GreaterOrEqual(t, version, m.held[i], "a router went back")
		require.LessOrEqual(t, int(version), len(m.accepted), "a router is ahead of what was accepted")
		require.Equal(t, version > 0, one.holder.Ready())
		m.held[i] = version
		if view := one.holder.Current(); view != nil {
			m.states[version].equal(t, view.State())
		}
	}
}

// noLostUpdate checks that nobody touched the note's entries between the
// version that its author looked at and its acceptance.
func (m *model) noLostUpdate(t *rapid.T, w *wish, version uint64) {
	from := uint64(w.before)
	if w.note.GetBasedOn() > 0 {
		from = w.note.GetBasedOn()
	}
	ours := touches(w.note)
	for v := from + 1; v < version; v++ {
		for e := range touches(m.accepted[v-1].GetNote()) {
			require.NotContains(t, ours, e, "version %d overwrote version %d", version, v)
		}
	}
}
