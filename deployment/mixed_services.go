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

// maxPendingServices bounds the changes that wait to be stored.
const maxPendingServices = 64

// mixedServices loads the stored services when the router starts, and stores changes on behalf of
// the fleet. For each service one of the connected routers does so; two that believe to be it write
// the same.
type mixedServices struct {
	self    fleet.RouterID
	store   MixedServiceStore
	history *origin.History
	// otherRouters returns the other routers that are connected.
	otherRouters func() []fleet.RouterID
	log          *slog.Logger
	changes      chan mixedChange

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

func (m *mixedServices) isResponsible(service fleet.ServiceID) bool {
	return rendezvous.Pick(rendezvous.KeyOf("mixed-service", string(service)), append(slices.Clip(m.otherRouters()), m.self)) == m.self
}

// run loads the stored services, then stores changes until ctx ends.
func (m *mixedServices) run(ctx context.Context) error {
	m.retryStoreCall(ctx, "load", m.load)
	for {
		select {
		case c := <-m.changes:
			m.retryStoreCall(ctx, "save", func(ctx context.Context) error { return m.apply(ctx, c) })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *mixedServices) retryStoreCall(ctx context.Context, operation string, call func(context.Context) error) {
	retryUntilSuccess(ctx, call, func(err error) {
		m.log.Warn("services with several software versions not persisted", "operation", operation, "error", err)
	})
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
