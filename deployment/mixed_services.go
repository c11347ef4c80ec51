package deployment

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/rendezvous"
)

// MixedServiceStore persists which services have upstreams of several software versions, or had
// lately. After a restart of all routers nobody remembers the versions whose upstreams have left.
type MixedServiceStore interface {
	// Load returns the stored services.
	Load(ctx context.Context) ([]fleet.ServiceID, error)
	// Save stores a service.
	Save(ctx context.Context, service fleet.ServiceID) error
	// Drop removes a service.
	Drop(ctx context.Context, service fleet.ServiceID) error
}

const (
	// maxPendingServices bounds the changes that wait to be stored.
	maxPendingServices = 64
	// mixedLoadTimeout bounds a load that a request waits for, and mixedLoadPause the time until the
	// next one if it fails.
	mixedLoadTimeout = 300 * time.Millisecond
	mixedLoadPause   = 500 * time.Millisecond
	// mixedCleanUpTime is how long after its start one router of the fleet looks for services that
	// are stored though nobody knows of several versions any more.
	mixedCleanUpTime = time.Minute
)

// mixedServices stores which services have several versions on behalf of the fleet, and loads it when
// that isn't known from elsewhere. For each service one of the connected routers stores it; two that
// believe to be it write the same.
type mixedServices struct {
	self    fleet.RouterID
	store   MixedServiceStore
	history *origin.History
	// otherRouters returns the other routers that are connected.
	otherRouters func() []fleet.RouterID
	log          *slog.Logger
	changes      chan mixedChange

	// loadMu is held while a request loads the services, so that others wait for the same call.
	// loaded is set once that has succeeded, and nextLoad is when it may be tried again.
	loadMu   sync.Mutex
	loaded   bool
	nextLoad time.Time

	mu sync.Mutex
	// saved holds the services that this router has stored, and listed those that are in the store
	// as far as it knows.
	saved, listed map[fleet.ServiceID]bool
}

// mixedChange is a change to be stored.
type mixedChange struct {
	service fleet.ServiceID
	mixed   bool
}

// setUp makes the fields of a new value usable. It must be called before run.
func (m *mixedServices) setUp(store MixedServiceStore) {
	m.store = store
	m.changes = make(chan mixedChange, maxPendingServices)
	m.saved, m.listed = make(map[fleet.ServiceID]bool), make(map[fleet.ServiceID]bool)
}

// set records whether a service has several versions, and queues the change if this router has to
// store it. It doesn't block: if the queue is full, the next call queues the change.
func (m *mixedServices) set(service fleet.ServiceID, mixed bool) {
	if m.store == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if mixed {
		m.listed[service] = true
	}
	if !m.listed[service] || (mixed && m.saved[service]) || !m.isResponsible(service) {
		return
	}
	select {
	case m.changes <- mixedChange{service, mixed}:
		m.saved[service] = mixed
		m.listed[service] = mixed
	default:
	}
}

// ensureLoaded loads the stored services unless that was done before, and reports whether they are
// known.
func (m *mixedServices) ensureLoaded(ctx context.Context) bool {
	if m.store == nil {
		return false
	}
	m.loadMu.Lock()
	defer m.loadMu.Unlock()
	if m.loaded || time.Now().Before(m.nextLoad) {
		return m.loaded
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), mixedLoadTimeout)
	defer cancel()
	if err := m.load(ctx); err != nil {
		m.logFailure("load", err)
		m.nextLoad = time.Now().Add(mixedLoadPause)
		return false
	}
	m.loaded = true
	return true
}

// storeAgain stores the services with several versions that this router is responsible for once more, as the store may have lost
// them.
func (m *mixedServices) storeAgain() {
	if m.store == nil {
		return
	}
	m.mu.Lock()
	var stored []fleet.ServiceID
	for service, isStored := range m.saved {
		if isStored {
			stored = append(stored, service)
		}
	}
	clear(m.saved)
	m.mu.Unlock()
	for _, service := range stored {
		m.set(service, true)
	}
}

// anyService stands for all services where one router is chosen to look after them.
const anyService fleet.ServiceID = ""

func (m *mixedServices) isResponsible(service fleet.ServiceID) bool {
	return rendezvous.Pick(rendezvous.KeyOf("mixed-service", string(service)), append(slices.Clip(m.otherRouters()), m.self)) == m.self
}

// run stores changes until ctx ends.
func (m *mixedServices) run(ctx context.Context) error {
	cleanUp := time.NewTimer(mixedCleanUpTime)
	defer cleanUp.Stop()
	for {
		select {
		case <-cleanUp.C:
			if m.isResponsible(anyService) {
				m.ensureLoaded(ctx)
			}
		case c := <-m.changes:
			m.retryStoreCall(ctx, "save", func(ctx context.Context) error { return m.apply(ctx, c) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *mixedServices) retryStoreCall(ctx context.Context, operation string, call func(context.Context) error) {
	retryUntilSuccess(ctx, call, func(err error) { m.logFailure(operation, err) })
}

func (m *mixedServices) logFailure(operation string, err error) {
	m.log.Warn("services with several software versions not persisted", "operation", operation, "error", err)
}

func (m *mixedServices) load(ctx context.Context) error {
	services, err := m.store.Load(ctx)
	if err != nil {
		return err
	}
	m.history.Restore(time.Now(), services)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, service := range services {
		m.listed[service] = true
	}
	return nil
}

func (m *mixedServices) apply(ctx context.Context, c mixedChange) error {
	if c.mixed {
		return m.store.Save(ctx, c.service)
	}
	return m.store.Drop(ctx, c.service)
}
