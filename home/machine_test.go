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
	// simulationSeeds is the number of random sequences, and simulationSteps the length
	// of each.
	simulationSeeds = 40
	simulationSteps = 60
	// simulationRouters and simulationEngines are the size of the simulated fleet.
	simulationRouters = 18
	simulationEngines = 4
	// maxOverrun is the longest that a request may wait beyond its patience: 0.5 s for
	// each of two homes that don't answer, and half of its patience for an account that
	// has received little service.
	maxOverrun = 2*500*time.Millisecond + target/4
)

// simulation changes a fleet at random while requests wait and run: all engines leave and
// return, routers are isolated or disconnected, and callers leave.
type simulation struct {
	*network
	random   *rand.Rand
	asks     sync.WaitGroup
	restarts [simulationEngines]registry.StartTime
	mu       sync.Mutex
	// longestOverrun is the longest time that a request waited beyond its patience.
	longestOverrun time.Duration
}

func (m *simulation) randomRouter() fleet.RouterID {
	return routerID(m.random.IntN(simulationRouters))
}

// ask requests a turn at a random router and ends the request after a while, unless its
// caller leaves first.
func (m *simulation) ask(ctx context.Context) {
	router := m.randomRouter()
	r := requestFor(m.random.Uint64N(6), m.random.Uint64())
	r.Input = 10_000 + m.random.IntN(60_000)
	callerTimeout := time.Hour
	if m.random.IntN(3) == 0 {
		callerTimeout = time.Duration(m.random.IntN(400)) * time.Millisecond
	}
	runTime := time.Duration(m.random.IntN(500)) * time.Millisecond
	outcome := turn.Outcome(m.random.IntN(8))
	m.asks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callerTimeout)
		defer cancel()
		begin := time.Now()
		ticket, err := m.turn(ctx, router, r)
		m.recordOverrun(time.Since(begin) - min(r.Patience, callerTimeout))
		if err != nil {
			return
		}
		time.Sleep(runTime)
		ticket.RecordFirstEvent(time.Now())
		ticket.End(time.Now(), outcome)
	})
}

func (m *simulation) recordOverrun(overrun time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longestOverrun = max(m.longestOverrun, overrun)
}

// changeEngines gives some or all routers a random subset of the engines, often none.
func (m *simulation) changeEngines() {
	var list []registry.Upstream
	if m.random.IntN(2) == 0 {
		for i, u := range engines(simulationEngines) {
			if m.random.IntN(4) == 0 {
				m.restarts[i]++
			}
			u.StartTime += m.restarts[i]
			if m.random.IntN(2) == 0 {
				list = append(list, u)
			}
		}
	}
	all := m.random.IntN(2) == 0
	for i := range simulationRouters {
		if all || m.random.IntN(3) == 0 {
			m.pools[routerID(i)].SetUpstreams(time.Now(), list, target)
		}
	}
}

// disconnect ends one router's connection to another.
func (m *simulation) disconnect() {
	if lost, other := m.randomRouter(), m.randomRouter(); lost != other {
		m.routers[other].HandleDisconnect(lost)
	}
}

func (m *simulation) step(ctx context.Context) {
	switch m.random.IntN(8) {
	case 0, 1, 2, 3:
		m.ask(ctx)
	case 4:
		m.changeEngines()
	case 5:
		m.setIsolated(m.randomRouter(), m.random.IntN(2) == 0)
	case 6:
		m.disconnect()
	case 7:
		time.Sleep(time.Duration(m.random.IntN(120)) * time.Millisecond)
	}
}

// Guards against a router that crashes, or a request that never gets an answer, when
// engines, homes, routers and callers leave in any order.
func TestFleetSurvivesRandomChanges(t *testing.T) {
	t.Parallel()
	for seed := range uint64(simulationSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := &simulation{network: startNetwork(simulationRouters, simulationEngines), random: rand.New(rand.NewPCG(seed, 1))}
				for range simulationSteps {
					m.step(t.Context())
				}
				m.asks.Wait()
				time.Sleep(time.Minute) // until the waits at homes have ended too
				require.LessOrEqual(t, m.longestOverrun, maxOverrun)
			})
		})
	}
}
