package coldstart_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/coldstart"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// node is one router of a simulated fleet.
type node struct {
	id        fleet.RouterID
	ownership *coldstart.Ownership
	limiter   coldstart.Limiter
	// side is the part of a partition that the router is in.
	side int
	// awakeAt is when a frozen or stopped router runs on.
	awakeAt time.Time
	// learnsAt is when the router learns which others it is connected to.
	learnsAt time.Time
}

// fleetModel plays the routers of a fleet before one cold upstream. Each learns of changes at a time
// of its own.
type fleetModel struct {
	random *rand.Rand
	nodes  []*node
	key    rendezvous.Key
	limit  coldstart.Limit
	// maxLag is the time within which a router notices that a connection is lost or made.
	maxLag time.Duration
	sent   []time.Time
}

const modelStep = 5 * time.Millisecond

func newFleetModel(seed uint64, routers int, limit coldstart.Limit, maxLag time.Duration) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(seed, 1)), key: rendezvous.KeyOf("model", fmt.Sprint(seed)), limit: limit, maxLag: maxLag}
	for i := range routers {
		id := fleet.RouterID(fmt.Sprintf("r%d", i))
		m.nodes = append(m.nodes, &node{id: id, ownership: &coldstart.Ownership{Self: id}})
	}
	for _, n := range m.nodes {
		m.restart(start, n)
	}
	return m
}

// restart makes a router forget the fleet.
func (m *fleetModel) restart(now time.Time, n *node) {
	n.ownership = &coldstart.Ownership{Self: n.id}
	n.limiter = coldstart.Limiter{}
	n.learnsAt = now.Add(time.Duration(m.random.Int64N(int64(m.maxLag))))
}

// disturb cuts the fleet into parts, heals it, or freezes or kills some of it.
func (m *fleetModel) disturb(now time.Time) {
	kind, parts := m.random.IntN(4), 2+m.random.IntN(3)
	for _, n := range m.nodes {
		hit := m.random.IntN(3) == 0
		switch kind {
		case 0:
			n.side = m.random.IntN(parts)
		case 1:
			n.side = 0
		case 2:
			if hit {
				n.awakeAt = now.Add(time.Duration(m.random.Int64N(int64(3 * time.Second))))
			}
		case 3:
			if hit {
				n.awakeAt = now.Add(2 * time.Second)
				m.restart(n.awakeAt, n)
			}
		}
	}
	for _, n := range m.nodes {
		n.learnsAt = now.Add(time.Duration(m.random.Int64N(int64(m.maxLag))))
		if n.learnsAt.Before(n.awakeAt) {
			n.learnsAt = n.awakeAt.Add(time.Duration(m.random.Int64N(int64(m.maxLag))))
		}
	}
}

// learn tells a router which others it is connected to.
func (m *fleetModel) learn(now time.Time, n *node) {
	var others []fleet.RouterID
	for _, o := range m.nodes {
		if o != n && o.side == n.side && !now.Before(o.awakeAt) {
			others = append(others, o.id)
		}
	}
	n.ownership.SetFleetSize(len(m.nodes))
	n.ownership.SetRouters(others)
}

// run plays the fleet, with a disturbance each interval; zero means none.
func (m *fleetModel) run(duration, interval time.Duration) {
	next := start.Add(3 * time.Second)
	for now := start; now.Before(start.Add(duration)); now = now.Add(modelStep) {
		if interval > 0 && now.After(next) {
			m.disturb(now)
			next = now.Add(interval)
		}
		for _, n := range m.nodes {
			if now.Before(n.awakeAt) {
				continue
			}
			if !n.learnsAt.IsZero() && !now.Before(n.learnsAt) {
				m.learn(now, n)
				n.learnsAt = time.Time{}
			}
			if n.ownership.Owns(now, m.key) && n.limiter.Allows(now, m.limit) {
				n.limiter.Record(now, m.limit)
				m.sent = append(m.sent, now)
			}
		}
	}
}

// Guards against a cold upstream that gets more than its service tolerates, as the sum over all
// routers, while these start, freeze, are killed or are cut from each other.
func TestFleetStaysWithinWhatAColdUpstreamTolerates(t *testing.T) {
	t.Parallel()
	const rate, factor, slack = 6.0, 1.5, 5.0
	limit := coldstart.Tolerance{Factor: factor, Slack: slack}.Limit(rate)
	for _, routers := range []int{1, 2, 6, 15, 16, 72, 300} {
		plays := 12
		if routers > 100 {
			plays = 3
		}
		for seed := range uint64(plays) {
			for _, interval := range []time.Duration{150 * time.Millisecond, 700 * time.Millisecond} {
				m := newFleetModel(seed, routers, limit, interval)
				m.run(20*time.Second, interval)
				require.LessOrEqual(t, float64(busiestSecond(m.sent)), rate*factor+slack, "%d routers, seed %d, changes each %v", routers, seed, interval)
			}
		}
	}
}

// Guards against a rate that is held by leaving it unused: a fleet that is calm after its start uses
// nine tenths of it.
func TestCalmFleetUsesTheRateOfAColdUpstream(t *testing.T) {
	t.Parallel()
	const rate = 6.0
	for _, routers := range []int{1, 6, 72, 300} {
		m := newFleetModel(7, routers, coldstart.Tolerance{Factor: 1.5, Slack: 5}.Limit(rate), time.Second)
		m.run(13*time.Second, 0)
		require.GreaterOrEqual(t, float64(len(m.sent)), 0.9*rate*10, "%d routers", routers)
	}
}

// Guards against a router that sends while it knows nothing of the others.
func TestStartingRouterOwnsNothing(t *testing.T) {
	t.Parallel()
	o := &coldstart.Ownership{Self: "a"}
	key := rendezvous.KeyOf("model", "u")
	require.False(t, o.Owns(start.Add(time.Minute), key))
	o.SetFleetSize(3)
	require.False(t, o.Owns(start, key))
	require.False(t, o.Owns(start.Add(time.Minute), key), "one of three routers")
	o.SetFleetSize(1)
	require.False(t, o.Owns(start, key), "a new owner waits")
	require.True(t, o.Owns(start.Add(time.Minute), key))
}
