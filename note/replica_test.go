package note_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

func addAccount(id string) *schema.ReleaseNote {
	return &schema.ReleaseNote{Summary: id, Added: &schema.Entries{
		Accounts: []*schema.Account{{Id: id, KeySha256: []string{note.HashKey(id)}}},
	}}
}

func (r *testFleet) publish(t *testing.T, i int, n *schema.ReleaseNote) fleet.Version {
	t.Helper()
	accepted, err := r.routers[i].publisher.Publish(t.Context(), n, "aino", note.NewPublishID())
	require.NoError(t, err)
	return fleet.Version(accepted.Record.GetVersion())
}

// A router that restarts while the table and the object store are down must fetch
// the accounts from a peer. Without them it would refuse every caller as unknown.
func TestRouterStartingInOutageFetchesFromPeers(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	r.publish(t, 0, addAccount("a"))
	r.publish(t, 0, addAccount("b"))
	r.start(1)
	r.platform.Faults.Set(fault.Fault{Kind: fault.Down})
	require.False(t, r.routers[1].replica.Ready())
	require.NoError(t, r.routers[1].replica.Refresh(t.Context()))
	require.True(t, r.routers[1].replica.Ready())
	require.Equal(t, fleet.Version(2), r.routers[1].replica.Version())
}

// In an outage a router fetches from a peer that has no records, because it
// started from a snapshot. The router must then fetch the peer's whole state, or
// it would stay without notes.
func TestFullStateIsFetchedWhenPeerLacksRecords(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	for i := range 6 {
		r.publish(t, 0, addAccount(fmt.Sprint("a", i)))
	}
	state := r.routers[0].replica.Current().State()
	r.start(0)
	r.routers[0].replica.ApplyState(state)
	r.platform.Faults.Set(fault.Fault{Kind: fault.Down})
	require.NoError(t, r.routers[1].replica.Refresh(t.Context()))
	require.Equal(t, fleet.Version(6), r.routers[1].replica.Version())
}

// A state larger than one part is transferred whole.
func TestALargeStateArrivesInParts(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	n := &schema.ReleaseNote{Summary: "many", Added: &schema.Entries{}}
	for i := range 3000 {
		id := fmt.Sprint("account-", i)
		n.Added.Accounts = append(n.Added.Accounts, &schema.Account{Id: id, KeySha256: []string{note.HashKey(id)}})
	}
	r.publish(t, 0, n)
	state := r.routers[0].replica.Current().State()
	r.start(0)
	r.routers[0].replica.ApplyState(state)
	r.platform.Faults.Set(fault.Fault{Kind: fault.Down})
	require.NoError(t, r.routers[1].replica.Refresh(t.Context()))
	require.Len(t, r.routers[1].replica.Current().State().GetAccounts(), 3000)
}

// A peer that was cut off, or a slow read, delivers an older state. A router
// that applied it would reject callers whose account was added since, and admit
// those whose account was withdrawn.
func TestOlderStateIsNotApplied(t *testing.T) {
	t.Parallel()
	r := newTestFleet(1)
	r.publish(t, 0, addAccount("a"))
	old := r.routers[0].replica.Current().State()
	r.publish(t, 0, addAccount("b"))
	r.routers[0].replica.ApplyState(old)
	require.Equal(t, fleet.Version(2), r.routers[0].replica.Version())
}

// The table returns rows from before the last notes.
func TestStaleReadsDoNotLowerTheVersion(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	r.publish(t, 0, addAccount("a"))
	r.publish(t, 0, addAccount("b"))
	r.platform.Faults.Set(fault.Fault{Kind: fault.Stale, CommitsBehind: 1})
	require.NoError(t, r.routers[0].replica.Refresh(t.Context()))
	require.Equal(t, fleet.Version(2), r.routers[0].replica.Version())
	require.NoError(t, r.routers[1].replica.Refresh(t.Context()))
	require.Equal(t, fleet.Version(1), r.routers[1].replica.Version())
}

// With announcements, a note reaches every router without a read of the table;
// without them, by the next poll, within five seconds.
func TestNoteReachesEveryRouterWithinFiveSeconds(t *testing.T) {
	t.Parallel()
	for _, dropAnnouncements := range []bool{false, true} {
		t.Run(fmt.Sprint("drop announcements ", dropAnnouncements), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testPropagation(t, dropAnnouncements) })
		})
	}
}

func testPropagation(t *testing.T, dropAnnouncements bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	p := memory.New(timer.System{})
	store := note.NewStore(p, p)
	replicas := map[fleet.RouterID]*note.Replica{}
	for i := range 3 {
		self := fleet.RouterID(fmt.Sprint("r", i))
		replicas[self] = note.NewReplica(note.ReplicaOptions{
			Self: self, Store: store, Peers: localPeers{replicas, self},
			Announce: func(to []fleet.RouterID, version fleet.Version) {
				for _, id := range to {
					if !dropAnnouncements {
						replicas[id].HandleAnnouncement(self, version)
					}
				}
			},
		})
	}
	for _, replica := range replicas {
		go func() { _ = replica.Run(ctx) }()
	}
	publisher := note.NewPublisher(note.PublisherOptions{Store: store, Replica: replicas["r0"]})
	for version := range fleet.Version(10) {
		_, err := publisher.Publish(ctx, addAccount(fmt.Sprint("a", version)), "aino", note.NewPublishID())
		require.NoError(t, err)
		if dropAnnouncements {
			time.Sleep(5 * time.Second)
		}
		synctest.Wait()
		for id, replica := range replicas {
			require.Equal(t, version+1, replica.Version(), id)
		}
		time.Sleep(10 * time.Second)
	}
	cancel()
	synctest.Wait()
}

// A router that froze right after announcing a note keeps its connection open but
// does not answer. The others must get the note elsewhere within five seconds
// instead of waiting for it.
func TestFrozenPeerDoesNotDelayUpdates(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := memory.New(timer.System{})
		store := note.NewStore(p, p)
		publisher := note.NewPublisher(note.PublisherOptions{Store: store, Replica: note.NewReplica(note.ReplicaOptions{Store: store})})
		publish := func(id string) {
			_, err := publisher.Publish(ctx, addAccount(id), "aino", note.NewPublishID())
			require.NoError(t, err)
		}
		publish("a")
		replica := note.NewReplica(note.ReplicaOptions{Self: "r", Store: store, Peers: frozenPeers{}})
		go func() { _ = replica.Run(ctx) }()
		time.Sleep(10 * time.Second)
		publish("b")
		replica.HandleAnnouncement("frozen", 2)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, fleet.Version(2), replica.Version())
		cancel()
		synctest.Wait()
	})
}

// The platform takes a minute for each read. A router that waited for it would
// ignore its peers meanwhile and serve callers by an old note.
func TestSlowTableDoesNotDelayPeerUpdates(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := memory.New(timer.System{})
		store := note.NewStore(p, p)
		replicas := map[fleet.RouterID]*note.Replica{"a": note.NewReplica(note.ReplicaOptions{Self: "a", Store: store})}
		replicas["b"] = note.NewReplica(note.ReplicaOptions{Self: "b", Store: store, Peers: localPeers{replicas, "b"}})
		replicas["b"].ApplyRecords(&schema.NoteRecord{Version: 1, FirstNumber: 1, Note: addAccount("x")})
		p.Faults.Set(fault.Fault{Kind: fault.Slow, DelayMs: 60_000})
		go func() { _ = replicas["b"].Run(ctx) }()
		time.Sleep(20 * time.Millisecond)
		replicas["a"].ApplyRecords(
			&schema.NoteRecord{Version: 1, FirstNumber: 1, Note: addAccount("x")},
			&schema.NoteRecord{Version: 2, FirstNumber: 2, Note: addAccount("y")},
		)
		replicas["b"].HandleAnnouncement("a", 2)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, fleet.Version(2), replicas["b"].Version())
		cancel()
		synctest.Wait()
	})
}

// frozenPeers is the Peers of a router whose only peer never answers.
type frozenPeers struct{}

func (frozenPeers) Routers() []fleet.RouterID { return []fleet.RouterID{"frozen"} }

func (frozenPeers) Call(ctx context.Context, _ fleet.RouterID, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// localPeers connects replicas within one process.
type localPeers struct {
	replicas map[fleet.RouterID]*note.Replica
	self     fleet.RouterID
}

func (a localPeers) Routers() []fleet.RouterID {
	var ids []fleet.RouterID
	for id := range a.replicas {
		if id != a.self {
			ids = append(ids, id)
		}
	}
	return ids
}

func (a localPeers) Call(ctx context.Context, to fleet.RouterID, method string, params, result any) error {
	return call(ctx, a.replicas[to], method, params, result)
}

// While the table is down, Publish must fail at once with an error that means that
// nothing was accepted, instead of waiting for the outage to end.
func TestPublishingInAnOutageFailsAtOnce(t *testing.T) {
	t.Parallel()
	r := newTestFleet(1)
	r.platform.Faults.Set(fault.Fault{Kind: fault.Down})
	before := r.clock.Now()
	_, err := r.routers[0].publisher.Publish(t.Context(), addAccount("a"), "aino", note.NewPublishID())
	var unavailable *store.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.Equal(t, before, r.clock.Now())
}

// The reply to a publish is lost after it took effect, and the table goes down.
// The operator publishes the note again through another router, which must
// neither publish it a second time nor report a clash with itself.
func TestLostReplyIsResolvedThroughAnotherRouter(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	id := note.NewPublishID()
	r.platform.Faults.Set(
		fault.Fault{Kind: fault.ReplyLost, Operation: memory.OperationCommit, Times: 1},
	)
	r.routers[0].table.beforeCommit = func() {
		r.platform.Faults.Add(fault.Fault{Kind: fault.Down, Operation: memory.OperationRead})
	}
	_, err := r.routers[0].publisher.Publish(t.Context(), addAccount("a"), "aino", id)
	var unsettled *note.UnsettledError
	require.ErrorAs(t, err, &unsettled)
	require.Equal(t, id, unsettled.PublishID)
	r.platform.Faults.Set()
	accepted, err := r.routers[1].publisher.Publish(t.Context(), addAccount("a"), "aino", id)
	require.NoError(t, err)
	require.True(t, accepted.AlreadyAccepted)
	require.Equal(t, uint64(1), accepted.Record.GetVersion())
}

// The reply is lost and the table is down for a moment after it. The router can
// find out the outcome itself, and must not report it as unknown.
func TestLostReplyIsResolvedAfterShortOutage(t *testing.T) {
	t.Parallel()
	r := newTestFleet(1)
	r.platform.Faults.Set(
		fault.Fault{Kind: fault.ReplyLost, Operation: memory.OperationCommit, Times: 1},
	)
	r.routers[0].table.beforeCommit = func() {
		r.platform.Faults.Add(fault.Fault{Kind: fault.Down, Operation: memory.OperationRead, Times: 3})
	}
	accepted, err := r.routers[0].publisher.Publish(t.Context(), addAccount("a"), "aino", note.NewPublishID())
	require.NoError(t, err)
	require.True(t, accepted.AlreadyAccepted)
}

// The publish takes effect a minute after its reply was lost. Meanwhile the
// operator has published the note through another router, which accepted it.
func TestLateCommitIsNotPublishedTwice(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	id := note.NewPublishID()
	r.platform.Faults.Set(
		fault.Fault{Kind: fault.Late, Operation: memory.OperationCommit, Times: 1, DelayMs: 60_000},
		fault.Fault{Kind: fault.Down, Operation: memory.OperationCommit},
	)
	_, err := r.routers[0].publisher.Publish(t.Context(), addAccount("a"), "aino", id)
	var unsettled *note.UnsettledError
	require.ErrorAs(t, err, &unsettled)
	r.platform.Faults.Set()
	accepted, err := r.routers[1].publisher.Publish(t.Context(), addAccount("a"), "aino", id)
	require.NoError(t, err)
	require.False(t, accepted.AlreadyAccepted)
	r.clock.Advance(2 * time.Minute)
	head, err := r.routers[0].store.Head(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(1), head.GetVersion())
}

// Two operators change the same account at the same time. The error of the second
// must list exactly the change of the first. A note on other entries must be
// accepted nevertheless.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	r.publish(t, 0, addAccount("a"))
	change := func(weight uint32) *schema.ReleaseNote {
		return &schema.ReleaseNote{Summary: fmt.Sprint("weight ", weight), Changed: &schema.Entries{
			Accounts: []*schema.Account{{Id: "a", Weight: weight, KeySha256: []string{note.HashKey("a")}}},
		}}
	}
	r.routers[1].table.beforeCommit = func() { r.publish(t, 0, change(2)) }
	_, err := r.routers[1].publisher.Publish(t.Context(), change(3), "juma", note.NewPublishID())
	var clash *note.ClashError
	require.ErrorAs(t, err, &clash)
	require.Equal(t, []note.Clash{{
		Entry: note.Entry{Kind: note.AccountEntry, ID: "a"}, Version: 2, Author: "aino", Summary: "weight 2",
	}}, clash.Clashes)

	r.routers[1].table.beforeCommit = func() { r.publish(t, 0, change(4)) }
	require.Equal(t, fleet.Version(4), r.publish(t, 1, addAccount("b")))
}

func TestOldAnnouncementIsIgnored(t *testing.T) {
	t.Parallel()
	r := newTestFleet(2)
	r.publish(t, 0, addAccount("a"))
	r.platform.Faults.Set(fault.Fault{Kind: fault.Down})
	r.isolated["r1"] = true
	r.routers[0].replica.HandleAnnouncement("r1", 1)
	require.NoError(t, r.routers[0].replica.FetchAnnounced(t.Context()))
	require.Equal(t, fleet.Version(1), r.routers[0].replica.PeerVersion("r1"))
	r.routers[0].replica.HandleAnnouncement("r1", 2)
	require.Error(t, r.routers[0].replica.FetchAnnounced(t.Context()))
}

// A peer of another version, or a faulty one, may send any parameters. The methods
// must return a result or an error, and must not change the router's state.
func FuzzMethods(f *testing.F) {
	for _, seed := range []string{`{}`, `{"after":"1"}`, `{"version":"1","offset":"131072"}`, `{"offset":"18446744073709551615"}`, `[]`, `null`, `"`} {
		f.Add([]byte(seed))
	}
	r := newTestFleet(1)
	_, err := r.routers[0].publisher.Publish(f.Context(), addAccount("a"), "aino", note.NewPublishID())
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, params []byte) {
		for _, method := range r.routers[0].replica.Methods() {
			if answer, err := method(t.Context(), params); err == nil {
				_, err = json.Marshal(answer)
				require.NoError(t, err)
			}
		}
		require.Equal(t, fleet.Version(1), r.routers[0].replica.Version())
	})
}
