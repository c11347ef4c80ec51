package origin_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
)

// replicatedFleet plays the replicators of a fleet in virtual time. Copies arrive at once.
type replicatedFleet struct {
	now         time.Time
	dataCenters map[fleet.RouterID]fleet.DataCenterID
	running     map[fleet.RouterID]*origin.Replicator
	// sent counts the copies that were sent, by their receiver, and most the largest number that one router sent at once.
	sent map[fleet.RouterID]int
	most int
}

func newReplicatedFleet(routers, dataCenters int) *replicatedFleet {
	f := &replicatedFleet{
		now: start, dataCenters: dataCentersOf(routers, dataCenters), running: make(map[fleet.RouterID]*origin.Replicator),
		sent: make(map[fleet.RouterID]int),
	}
	for _, id := range f.ids() {
		f.start(id)
	}
	return f
}

func (f *replicatedFleet) ids() []fleet.RouterID { return slices.Sorted(maps.Keys(f.dataCenters)) }

// start starts a router and connects it with the others.
func (f *replicatedFleet) start(id fleet.RouterID) {
	r := &origin.Replicator{DataCenter: f.dataCenters[id]}
	for other, replicator := range f.running {
		replicator.Connect(f.now, id, f.dataCenters[id])
		r.Connect(f.now, other, f.dataCenters[other])
	}
	f.running[id] = r
}

// kill ends a router, which loses its records.
func (f *replicatedFleet) kill(id fleet.RouterID) {
	delete(f.running, id)
	for _, replicator := range f.running {
		replicator.Disconnect(f.now, id)
	}
}

// reconnect breaks and restores a connection, after which what was on its way is lost.
func (f *replicatedFleet) reconnect(a, b fleet.RouterID) {
	f.running[a].Disconnect(f.now, b)
	f.running[b].Disconnect(f.now, a)
	f.running[a].Connect(f.now, b, f.dataCenters[b])
	f.running[b].Connect(f.now, a, f.dataCenters[a])
}

// advance lets time pass, in steps of a millisecond.
func (f *replicatedFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for _, id := range f.ids() {
			if r := f.running[id]; r != nil {
				f.send(id, r)
			}
		}
	}
}

func (f *replicatedFleet) send(id fleet.RouterID, r *origin.Replicator) {
	due := r.DueAt()
	if due.IsZero() || f.now.Before(due) {
		return
	}
	out, _ := r.Take(f.now)
	moved := 0
	for to, copies := range out {
		f.sent[to] += len(copies)
		for _, c := range copies {
			if c.Moved {
				moved++
			}
			if receiver := f.running[to]; receiver != nil {
				receiver.Receive(f.now, id, c.Key, origin.Record{Service: c.Record.Service, Software: c.Record.Software, Until: c.Record.Until})
			}
		}
	}
	f.most = max(f.most, moved)
}

// begin records streams at a router.
func (f *replicatedFleet) begin(id fleet.RouterID, first, count int) {
	for i := first; i < first+count; i++ {
		f.running[id].Begin(f.now, keyOf(i), origin.Record{Service: "s", Software: "v1", Until: f.now.Add(time.Hour)})
	}
}

// missing returns how many streams can't be taken up at some router.
func (f *replicatedFleet) missing(first, count int) int {
	missing := 0
	for i := first; i < first+count; i++ {
		key := keyOf(i)
		for id, r := range f.running {
			asked := append(r.ForQuery(key), id)
			if !slices.ContainsFunc(asked, func(other fleet.RouterID) bool { _, known := f.running[other].Get(f.now, key); return known }) {
				missing++
				break
			}
		}
	}
	return missing
}

// Guards against records that nobody has any more although some router that had them could have sent them again: routers that
// hold them restart one after the other, then the one that began the streams is lost, and the others restart again.
func TestRecordsSurviveRestartsInTurn(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ routers, dataCenters int }{{3, 1}, {4, 2}, {6, 1}, {6, 3}, {6, 6}, {18, 1}, {18, 3}, {30, 11}} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d routers in %d data centres, seed %d", size.routers, size.dataCenters, seed), func(t *testing.T) {
				t.Parallel()
				const streams = 40
				random := rand.New(rand.NewPCG(seed, 0))
				f := newReplicatedFleet(size.routers, size.dataCenters)
				f.begin("r0", 0, streams)
				f.advance(50 * time.Millisecond)
				for round := range 3 {
					order := f.ids()
					random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
					for _, id := range order {
						if id == "r0" && round == 0 {
							continue
						}
						f.kill(id)
						f.advance(time.Duration(random.IntN(300)) * time.Millisecond)
						f.start(id)
						f.reconnect(id, f.anyOther(random, id))
						f.advance(150 * time.Millisecond)
					}
					require.Zero(t, f.missing(0, streams), "round %d", round)
				}
			})
		}
	}
}

func (f *replicatedFleet) anyOther(random *rand.Rand, id fleet.RouterID) fleet.RouterID {
	others := slices.DeleteFunc(f.ids(), func(other fleet.RouterID) bool { return other == id })
	return others[random.IntN(len(others))]
}

// Guards against streams that can't be taken up in a data centre that was cut off while they began, or elsewhere, after its return.
func TestRecordsAreFoundAfterADataCenterReturns(t *testing.T) {
	t.Parallel()
	const streams = 60
	for _, size := range []struct{ routers, dataCenters int }{{6, 2}, {6, 3}, {30, 3}} {
		f := newReplicatedFleet(size.routers, size.dataCenters)
		cut := func(id fleet.RouterID) bool { return f.dataCenters[id] == "z0" }
		forPairs := func(fn func(inside, outside fleet.RouterID)) {
			for _, inside := range f.ids() {
				for _, outside := range f.ids() {
					if cut(inside) && !cut(outside) {
						fn(inside, outside)
					}
				}
			}
		}
		forPairs(func(inside, outside fleet.RouterID) {
			f.running[inside].Disconnect(f.now, outside)
			f.running[outside].Disconnect(f.now, inside)
		})
		f.begin("r0", 0, streams/2)
		f.begin("r1", streams/2, streams/2)
		f.advance(time.Second)
		forPairs(func(inside, outside fleet.RouterID) {
			f.running[inside].Connect(f.now, outside, f.dataCenters[outside])
			f.running[outside].Connect(f.now, inside, f.dataCenters[inside])
		})
		f.advance(time.Second)
		f.kill("r0")
		f.kill("r1")
		require.Zero(t, f.missing(0, streams), "%d routers in %d data centres", size.routers, size.dataCenters)
	}
}

// Guards against a large fleet in which a router that restarts causes messages to all others, or its share of the records many
// times over; and against many routers that connect at once and are sent all at once.
func TestRestartsAreCheap(t *testing.T) {
	t.Parallel()
	const routers, each, bound = 90, 60, 128
	f := newReplicatedFleet(routers, 3)
	for i, id := range f.ids() {
		f.begin(id, i*each, each)
	}
	f.advance(50 * time.Millisecond)
	clear(f.sent)
	f.kill("r7")
	f.advance(300 * time.Millisecond)
	// Its own records get two copies each and those that it held one more. Both are spread over all others.
	require.LessOrEqual(t, sum(f.sent), 2*(2*2*each+2*each))
	clear(f.sent)
	f.start("r7")
	f.advance(300 * time.Millisecond)
	require.Len(t, f.sent, 1, "only the router that has started gets copies")
	require.LessOrEqual(t, f.sent["r7"], 3*2*each)

	f.begin("r1", routers*each, 3000)
	f.advance(50 * time.Millisecond)
	for _, id := range f.ids() {
		if f.dataCenters[id] == "z0" {
			f.kill(id)
			f.start(id)
		}
	}
	f.advance(2 * time.Second)
	require.LessOrEqual(t, f.most, bound)
	f.kill("r1")
	require.Zero(t, f.missing(routers*each, 200))
}

func sum(counts map[fleet.RouterID]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// Guards against a stream that goes on at the wrong version since a copy that is sent again replaces what is known of it.
func TestContradictingCopiesLeaveTheVersionUnknown(t *testing.T) {
	t.Parallel()
	for _, isOwn := range []bool{false, true} {
		var r origin.Replicator
		record := origin.Record{Service: "s", Software: "v2", Until: start.Add(time.Minute)}
		if isOwn {
			r.Begin(start, keyOf(1), record)
		} else {
			r.Receive(start, "r1", keyOf(1), record)
		}
		r.Receive(start, "r2", keyOf(1), origin.Record{Service: "s", Software: "v1", Until: start.Add(time.Minute)})
		known, ok := r.Get(start, keyOf(1))
		require.True(t, ok)
		require.Empty(t, known.Software)
	}
}

// Guards against a start of a large fleet that is slowed down by the choice of holders, and against a router that wakes up
// again and again though it has nothing to send.
func TestNothingIsSentWithoutRecords(t *testing.T) {
	t.Parallel()
	f := newReplicatedFleet(30, 3)
	f.advance(200 * time.Millisecond)
	require.Empty(t, f.sent)
	for _, r := range f.running {
		require.True(t, r.DueAt().IsZero())
	}
}
