package home_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	// machineSeeds is how many sequences are played, and machineSteps their length.
	machineSeeds = 40
	machineSteps = 60
	// machineRouters and machineEngines are the size of the fleet that is played.
	machineRouters = 18
	machineEngines = 4
	// mostBeyond is the most that a request waits beyond its patience: two homes that may be
	// silent for 0.5 s each, and half of its patience for an account that was served little.
	mostBeyond = 2*500*time.Millisecond + target/4
)

// machine plays a fleet at random whose engines all leave and return, whose routers are cut off
// and lost, and whose callers leave, while requests wait and run.
type machine struct {
	*network
	random *rand.Rand
	asks   sync.WaitGroup
	lives  [machineEngines]registry.Life
	// longest is the longest time that a request waited beyond its patience.
	mu      sync.Mutex
	longest time.Duration
}

func (m *machine) router() fleet.RouterID {
	return fleet.RouterID(fmt.Sprintf("r%d", m.random.IntN(machineRouters)))
}

// ask asks for a turn at some router, and ends it after a while or never.
func (m *machine) ask(ctx context.Context) {
	at := m.router()
	d := prompt(m.random.Uint64N(6), m.random.Uint64())
	d.Input = 10_000 + m.random.IntN(60_000)
	leaves := time.Hour
	if m.random.IntN(3) == 0 {
		leaves = time.Duration(m.random.IntN(400)) * time.Millisecond
	}
	runs := time.Duration(m.random.IntN(500)) * time.Millisecond
	outcome := turn.Outcome(m.random.IntN(8))
	m.asks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, leaves)
		defer cancel()
		begin := time.Now()
		ticket, err := m.turn(ctx, at, d)
		m.note(time.Since(begin) - min(d.Patience, leaves))
		if err != nil {
			return
		}
		time.Sleep(runs)
		ticket.First(time.Now())
		ticket.End(time.Now(), outcome)
	})
}

func (m *machine) note(beyond time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest = max(m.longest, beyond)
}

// change gives some or all routers another part of the engines, often none.
func (m *machine) change() {
	var list []registry.Upstream
	if m.random.IntN(2) == 0 {
		for i, u := range engines(machineEngines) {
			if m.random.IntN(4) == 0 {
				m.lives[i]++
			}
			u.Life += m.lives[i]
			if m.random.IntN(2) == 0 {
				list = append(list, u)
			}
		}
	}
	all := m.random.IntN(2) == 0
	for i := range machineRouters {
		if all || m.random.IntN(3) == 0 {
			m.pools[fleet.RouterID(fmt.Sprintf("r%d", i))].Set(time.Now(), list, target)
		}
	}
}

// lose makes one router hear that another one is lost.
func (m *machine) lose() {
	if lost, other := m.router(), m.router(); lost != other {
		m.routers[other].Lost(lost)
	}
}

func (m *machine) step(ctx context.Context) {
	switch m.random.IntN(8) {
	case 0, 1, 2, 3:
		m.ask(ctx)
	case 4:
		m.change()
	case 5:
		m.setCut(m.router(), m.random.IntN(2) == 0)
	case 6:
		m.lose()
	case 7:
		time.Sleep(time.Duration(m.random.IntN(120)) * time.Millisecond)
	}
}

// Guards against a router that ends, and a request that is never told anything, because
// engines, homes, routers and callers leave in any order.
func TestFleetOutlivesAnyChangeOfItsEngines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(machineSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := &machine{network: start(machineRouters, machineEngines), random: rand.New(rand.NewPCG(seed, 1))}
				for range machineSteps {
					m.step(t.Context())
				}
				m.asks.Wait()
				time.Sleep(time.Minute) // what waits at homes has ended too
				require.LessOrEqual(t, m.longest, mostBeyond)
			})
		})
	}
}
