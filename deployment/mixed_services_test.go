package deployment_test

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/fleet"
)

// memoryMixedServices is a store of services with several versions.
type memoryMixedServices struct {
	mu       sync.Mutex
	services map[fleet.ServiceID]bool
	writes   int
	loads    int
	// down makes loads fail.
	down bool
}

var _ deployment.MixedServiceStore = (*memoryMixedServices)(nil)

func (m *memoryMixedServices) Load(ctx context.Context) ([]fleet.ServiceID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads++
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if m.down {
		return nil, errors.New("the store is down")
	}
	return slices.Sorted(maps.Keys(m.services)), nil
}

func (m *memoryMixedServices) Save(_ context.Context, service fleet.ServiceID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services[service] = true
	m.writes++
	return nil
}

func (m *memoryMixedServices) Drop(_ context.Context, service fleet.ServiceID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.services, service)
	m.writes++
	return nil
}

func (m *memoryMixedServices) has(service fleet.ServiceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.services[service]
}

func (m *memoryMixedServices) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// startMixedServices starts the part of a router that stores which services have several versions.
func startMixedServices(t *testing.T, store deployment.MixedServiceStore, self fleet.RouterID, others ...fleet.RouterID) *deployment.MixedServices {
	t.Helper()
	m := deployment.NewMixedServices(store, self, others, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	})
	return m
}

// Guards against a write by each router of a fleet, and against one with each call: a release costs
// the store one write when it begins and one when it is over.
func TestOneRouterStoresThatAServiceHasSeveralVersions(t *testing.T) {
	t.Parallel()
	store := &memoryMixedServices{services: make(map[fleet.ServiceID]bool)}
	routers := []fleet.RouterID{"r0", "r1", "r2"}
	var parts []*deployment.MixedServices
	for i, self := range routers {
		parts = append(parts, startMixedServices(t, store, self, append(slices.Clone(routers[:i]), routers[i+1:]...)...))
	}
	set := func(mixed bool) {
		for _, m := range parts {
			m.Set("s", mixed)
			m.Set("other", false)
		}
	}
	for range 3 {
		set(true)
	}
	require.Eventually(t, func() bool { return store.has("s") }, 5*time.Second, time.Millisecond)
	for range 3 {
		set(false)
	}
	require.Eventually(t, func() bool { return !store.has("s") }, 5*time.Second, time.Millisecond)
	time.Sleep(propagationTime)
	require.Equal(t, 2, store.writeCount())
}

// Guards against a row that stays for ever because the router that stored it is gone.
func TestRowOfALostRouterIsRemoved(t *testing.T) {
	t.Parallel()
	store := &memoryMixedServices{services: map[fleet.ServiceID]bool{"s": true}}
	m := startMixedServices(t, store, "alone")
	require.True(t, m.EnsureLoaded(t.Context()))
	require.Eventually(t, func() bool {
		m.Set("s", false)
		return !store.has("s")
	}, 5*time.Second, time.Millisecond)
}

// Guards against a call to the store at each start, by each router: the services are loaded only
// when a stream is taken up and no router that can be asked knows the versions before.
func TestStoredServicesAreLoadedWhenNobodyKnows(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		stored map[fleet.ServiceID]bool
		down   bool
		found  bool
	}{
		{name: "one version", found: true},
		{name: "several versions before", stored: map[fleet.ServiceID]bool{"s": true}},
		{name: "the store is down", down: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			store := &memoryMixedServices{services: c.stored, down: c.down}
			n := newNode(t, "restarted")
			n.mesh.SetMixedServiceStore(store)
			n.state.Configure(testConfiguration(1), "store")
			n.state.ApplyUpstreams(upstreamChanges(1, "v1"), "store")
			n.state.ConfirmUpstreams(time.Now())
			require.Zero(t, store.loads)
			for range 20 {
				_, err := n.find(t, "stream")
				require.Equal(t, c.found, err == nil)
			}
			require.Equal(t, 1, store.loads)
		})
	}
}

// Guards against streams that are refused because the caller whose request loads the services leaves.
func TestCallerThatLeavesDoesNotEndTheLoad(t *testing.T) {
	t.Parallel()
	m := startMixedServices(t, &memoryMixedServices{}, "alone")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.True(t, m.EnsureLoaded(ctx))
}
