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
// checks the invariants after each step.
type model struct {
	*testFleet
	testing *testing.T
	down    bool

	// accepted is the history read so far. Its records never change.
	accepted []*schema.NoteRecord
	// states holds the expected state of each version.
	states []*oracle
	// heldVersions holds the version of each router, which only a restart lowers.
	heldVersions []fleet.Version
	// requests are all publishes. A refused one must never be accepted.
	requests []*publishRequest
	outcomes map[string]int
	// snapshotVersion is the newest snapshot version that the head named.
	snapshotVersion uint64
	steps           *int
}

// publishRequest is one publish, which may be sent several times.
type publishRequest struct {
	id   note.PublishID
	note *schema.ReleaseNote
	sent bool
	// refused is true while the last answer means that nothing was accepted.
	refused bool
	// version is the accepted version, once Publish has returned it.
	version uint64
	// acceptedBefore is the length of the history when the request was last sent.
	// A note without a base version is compared with what is accepted meanwhile.
	acceptedBefore int
}

// Operators publish concurrently while the platform loses replies, returns old
// rows, delays writes or is down, and while routers restart without state or are
// isolated for a time. A bug here would revert a changed setting, ignore an
// accepted note, duplicate an account, or make routers treat one caller
// differently.
func TestNotesUnderEveryFault(t *testing.T) {
	t.Parallel()
	steps := 0
	outcomes := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{
			testFleet: newTestFleet(3), testing: t, heldVersions: make([]fleet.Version, 3), outcomes: outcomes, steps: &steps,
			states: []*oracle{{entries: map[note.Entry]proto.Message{}}},
		}
		rt.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "repeat": m.retry, "poll": m.poll, "follow": m.fetchAnnounced,
			"restart": m.restart, "cut": m.toggleIsolation, "pass time": m.passTime, "outage": m.outage, "": m.checkInvariants,
		})
	})
	t.Logf("%d steps, publishes: %v", steps, outcomes)
	require.GreaterOrEqual(t, steps, 10_000)
	for _, kind := range []string{"accepted", "already", "clash", "faults", "unavailable", "unsettled", "snapshot"} {
		require.NotZero(t, outcomes[kind], kind)
	}
}

func (m *model) randomRouter(t *rapid.T) (int, *testRouter) {
	i := rapid.IntRange(0, len(m.routers)-1).Draw(t, "router")
	return i, m.routers[i]
}

var drawID = rapid.SampledFrom([]string{"a", "b", "c"})

// drawNote returns a note that is mostly valid for the newest state.
func (m *model) drawNote(t *rapid.T) *schema.ReleaseNote {
	newest := m.states[len(m.states)-1]
	n := &schema.ReleaseNote{Summary: "s", Added: &schema.Entries{}, Changed: &schema.Entries{}, Withdrawn: &schema.Names{}}
	if rapid.Bool().Draw(t, "based") {
		n.BasedOn = uint64(rapid.IntRange(max(0, len(m.accepted)-2), len(m.accepted)).Draw(t, "based-on"))
	}
	for range rapid.IntRange(1, 2).Draw(t, "entries") {
		kind := rapid.SampledFrom([]note.EntryKind{note.AccountEntry, note.ServiceEntry, note.UpstreamEntry}).Draw(t, "kind")
		id := drawID.Draw(t, "id")
		_, exists := newest.entries[entry(kind, id)]
		switch {
		case !exists:
			m.addDefinition(t, n.GetAdded(), kind, id)
		case rapid.Bool().Draw(t, "change"):
			m.addDefinition(t, n.GetChanged(), kind, id)
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

func (m *model) addDefinition(t *rapid.T, to *schema.Entries, kind note.EntryKind, id string) {
	size := rapid.Uint32Range(1, 9).Draw(t, "size")
	switch kind {
	case note.AccountEntry:
		key := note.HashKey(rapid.SampledFrom([]string{id, id + "2", "shared"}).Draw(t, "key"))
		to.Accounts = append(to.Accounts, &schema.Account{Id: id, Weight: size, KeySha256: []string{key}})
	case note.ServiceEntry:
		to.Services = append(to.Services, &schema.Service{Id: id, Kind: "plain", CallCost: size})
	case note.UpstreamEntry:
		to.Upstreams = append(to.Upstreams, &schema.Upstream{Id: id, Service: drawID.Draw(t, "service"), Address: id + ":1", DataCenter: "d", Slots: size})
	}
}

// injectFaults sets a few faults for the next operations.
func (m *model) injectFaults(t *rapid.T) {
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
			Operation:     rapid.SampledFrom([]string{"read", "scan", "commit", "commit", "put", "get"}).Draw(t, "operation"),
			Times:         rapid.SampledFrom([]int{1, 1, 2, 20}).Draw(t, "times"),
			CommitsBehind: rapid.IntRange(1, 4).Draw(t, "commits"),
		}
		if f.Kind == fault.Late && (f.Operation == "commit" || f.Operation == "put") {
			f.DelayMs = rapid.SampledFrom([]int{60, 2000, 60_000}).Draw(t, "delay")
		}
		m.platform.Faults.Add(f)
	}
}

func (m *model) publish(t *rapid.T) {
	_, router := m.randomRouter(t)
	request := m.newRequest(t)
	if rapid.IntRange(0, 2).Draw(t, "race") == 0 {
		_, other := m.randomRouter(t)
		rival := m.newRequest(t)
		router.table.skipCommits = rapid.IntRange(0, 2).Draw(t, "skip")
		router.table.beforeCommit = func() {
			m.checkHistory(t)
			m.send(t, other, rival)
		}
	}
	m.injectFaults(t)
	m.send(t, router, request)
	router.table.beforeCommit = nil
}

func (m *model) newRequest(t *rapid.T) *publishRequest {
	id := note.PublishID(fmt.Sprintf("%032x", len(m.requests)+1))
	request := &publishRequest{id: id, note: m.drawNote(t), acceptedBefore: len(m.accepted)}
	m.requests = append(m.requests, request)
	return request
}

func (m *model) retry(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("nothing was published")
	}
	_, router := m.randomRouter(t)
	m.injectFaults(t)
	m.send(t, router, rapid.SampledFrom(m.requests).Draw(t, "request"))
}

// send publishes and checks the result.
func (m *model) send(t *rapid.T, router *testRouter, request *publishRequest) {
	request.acceptedBefore = len(m.accepted)
	accepted, err := router.publisher.Publish(m.testing.Context(), request.note, "operator", request.id)
	m.checkHistory(t)
	first := !request.sent
	request.sent = true
	if err == nil {
		m.checkAccepted(t, request, accepted)
		return
	}
	var clash *note.ClashError
	var faults *document.FaultsError
	var busy *note.BusyError
	var unavailable *store.UnavailableError
	var unsettled *note.UnsettledError
	switch {
	case errors.As(err, &unsettled):
		m.outcomes["unsettled"]++
		request.refused = false
	case errors.As(err, &clash):
		m.outcomes["clash"]++
		m.recordRefusal(t, request, err)
		for _, c := range clash.Clashes {
			require.Contains(t, modifiedOrReferenced(m.accepted[c.Version-1].GetNote()), c.Entry)
		}
	case errors.As(err, &faults):
		m.outcomes["faults"]++
		m.recordRefusal(t, request, err)
		m.checkFaultsWereReal(t, request)
	case errors.As(err, &busy):
		m.outcomes["busy"]++
		request.refused = request.refused || first // A failed retry leaves the outcome of earlier attempts open.
	case errors.As(err, &unavailable):
		m.outcomes["unavailable"]++
		request.refused = request.refused || first
	default:
		require.NoError(t, err, "an error of unknown type")
	}
}

// recordRefusal records that a publish was finally refused: no attempt was
// accepted, and none can be any more.
func (m *model) recordRefusal(t *rapid.T, request *publishRequest, err error) {
	require.Zero(t, request.version, "an accepted publish was refused later: %v", err)
	request.refused = true
}

func (m *model) checkAccepted(t *rapid.T, request *publishRequest, accepted note.PublishResult) {
	m.outcomes["accepted"]++
	if accepted.AlreadyAccepted {
		m.outcomes["already"]++
	}
	request.refused = false
	version := accepted.Record.GetVersion()
	require.LessOrEqual(t, version, uint64(len(m.accepted)), "a note was reported as accepted but was not")
	require.True(t, proto.Equal(m.accepted[version-1], accepted.Record))
	require.Equal(t, string(request.id), accepted.Record.GetPublishId())
	if request.version != 0 {
		require.Equal(t, request.version, version)
	}
	request.version = version
}

// checkFaultsWereReal checks that a note was invalid at some state that was the
// newest one during the publish, and not only in a stale read.
func (m *model) checkFaultsWereReal(t *rapid.T, request *publishRequest) {
	state := &schema.FleetState{}
	for i := 0; ; i++ {
		if i >= request.acceptedBefore && note.Check(state, request.note) != nil {
			return
		}
		if i == len(m.accepted) {
			break
		}
		var err error
		state, err = note.Apply(state, m.accepted[i])
		require.NoError(t, err)
	}
	require.Fail(t, "a valid note was refused", "%v", request.note)
}

func (m *model) poll(t *rapid.T) {
	_, router := m.randomRouter(t)
	m.injectFaults(t)
	_ = router.replica.Refresh(m.testing.Context()) // Failures are expected under faults.
}

func (m *model) fetchAnnounced(t *rapid.T) {
	_, router := m.randomRouter(t)
	m.injectFaults(t)
	_ = router.replica.FetchAnnounced(m.testing.Context()) // Failures are expected under faults.
}

func (m *model) restart(t *rapid.T) {
	i, _ := m.randomRouter(t)
	m.start(i)
	m.heldVersions[i] = 0
}

func (m *model) toggleIsolation(t *rapid.T) {
	_, router := m.randomRouter(t)
	m.isolated[router.id] = !m.isolated[router.id]
}

func (m *model) outage(t *rapid.T) {
	m.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
}

func (m *model) passTime(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 70).Draw(t, "seconds")) * time.Second)
}

// checkHistory reads the history and checks that it only grew, and that each new
// state is valid.
func (m *model) checkHistory(t *rapid.T) {
	records := m.acceptedRecords(t)
	require.GreaterOrEqual(t, len(records), len(m.accepted), "an accepted note was lost")
	for i, record := range records {
		if i < len(m.accepted) {
			require.True(t, proto.Equal(m.accepted[i], record), "an accepted note changed")
			continue
		}
		m.accepted = append(m.accepted, record)
		next := &oracle{entries: map[note.Entry]proto.Message{}, lastNumber: m.states[i].lastNumber}
		for e, definition := range m.states[i].entries {
			next.entries[e] = definition
		}
		next.apply(t, record.GetNote())
		next.checkValid(t)
		m.states = append(m.states, next)
	}
}

// acceptedRecords returns all accepted records, read from the platform without
// faults.
func (m *model) acceptedRecords(t *rapid.T) []*schema.NoteRecord {
	faults := m.platform.Faults.All()
	m.platform.Faults.Set()
	defer m.platform.Faults.Set(faults...)
	store := note.NewStore(m.platform, m.platform)
	head, err := store.Head(m.testing.Context())
	require.NoError(t, err)
	records, err := store.Records(m.testing.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(len(records)), head.GetVersion(), "the head does not name the newest note")
	m.checkSnapshot(t, store, head.GetSnapshotVersion())
	return records
}

// checkSnapshot checks that the snapshot that the head names exists and is
// correct.
func (m *model) checkSnapshot(t *rapid.T, store *note.Store, version uint64) {
	require.GreaterOrEqual(t, version, m.snapshotVersion, "the head went back to an older snapshot")
	if version == m.snapshotVersion || version >= uint64(len(m.states)) {
		return // A later call checks it, when the history up to it is known.
	}
	state, err := store.Snapshot(m.testing.Context(), fleet.Version(version))
	require.NoError(t, err, "the head names a snapshot that does not exist")
	m.states[version].requireEqual(t, state)
	m.outcomes["snapshot"]++
	m.snapshotVersion = version
}

// checkInvariants checks what must hold after each step.
func (m *model) checkInvariants(t *rapid.T) {
	*m.steps++
	m.checkHistory(t)
	versions := map[string]uint64{}
	for _, record := range m.accepted {
		require.NotContains(t, versions, record.GetPublishId(), "one publish accepted twice")
		versions[record.GetPublishId()] = record.GetVersion()
	}
	for _, request := range m.requests {
		version, ok := versions[string(request.id)]
		require.False(t, request.refused && ok, "publish %s was refused but accepted as version %d", request.id, version)
		if ok {
			m.checkNoLostUpdate(t, request, version)
		}
	}
	for i, router := range m.routers {
		version := router.replica.Version()
		require.GreaterOrEqual(t, version, m.heldVersions[i], "a router went back to an older version")
		require.LessOrEqual(t, int(version), len(m.accepted), "a router is ahead of the accepted history")
		require.Equal(t, version > 0, router.replica.Ready())
		m.heldVersions[i] = version
		if view := router.replica.Current(); view != nil {
			m.states[version].requireEqual(t, view.State())
		}
	}
}

// checkNoLostUpdate checks that nobody modified the note's entries between its
// base version and its acceptance.
func (m *model) checkNoLostUpdate(t *rapid.T, request *publishRequest, version uint64) {
	from := uint64(request.acceptedBefore)
	if request.note.GetBasedOn() > 0 {
		from = request.note.GetBasedOn()
	}
	modified := modifiedEntries(request.note)
	for v := from + 1; v < version; v++ {
		for e := range modifiedEntries(m.accepted[v-1].GetNote()) {
			require.NotContains(t, modified, e, "version %d overwrote version %d", version, v)
		}
	}
}
