package deployment

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// lateServiceTime is how long after the removal of its entry an upstream may still serve
	// streams that are then taken up again.
	lateServiceTime = 10 * time.Second
	// maxCallerTimeout bounds the time for which streams are remembered, whatever callers state.
	maxCallerTimeout = 15 * time.Minute
)

// originKeeper knows which software versions began the streams of this router, and asks the other
// routers for theirs. Two of them hold copies of its records, so that a stream can be taken up again when this router
// is gone, also if it stops before it learns of a second version.
type originKeeper struct {
	state *State
	send  func(to fleet.RouterID, batch *schema.Batch)
	call  func(ctx context.Context, to fleet.RouterID, method string, params, result any) error
	// metrics may be nil.
	metrics *metric.Set
	log     *slog.Logger
	guard   *recovery.Guard
	records origin.Replicator
	// mixedServices persists which services have several versions.
	mixedServices mixedServices
	listCheck     listCheck
	// longestTimeout is the longest time, in nanoseconds, for which callers waited for streams.
	longestTimeout atomic.Int64

	mu sync.Mutex
	// mixed holds the services that have, or had lately, several versions.
	mixed map[fleet.ServiceID]bool
	// flushAt is when copies are sent next, zero if none are pending.
	flushAt time.Time
	// isUnheld is set while no other router is connected that could hold the records.
	isUnheld bool
}

var _ forward.Origins = (*originKeeper)(nil)

// window returns how long a stream can be taken up again after it began, and how long a version
// may matter after its last upstream has left.
func (k *originKeeper) window() time.Duration {
	longest := max(k.state.longestStream.Load(), k.longestTimeout.Load())
	return time.Duration(longest) + lateServiceTime
}

// view returns what this router knows of the versions of a service.
func (k *originKeeper) view(now time.Time, service fleet.ServiceID) origin.View {
	view := k.state.history.View(now, service, k.window())
	view.Current = k.state.listIsCurrent(now)
	return view
}

// statement returns what this router knows of the origin of a stream.
func (k *originKeeper) statement(now time.Time, service fleet.ServiceID, key origin.Key) origin.Statement {
	record, recorded := k.records.Get(now, key)
	return origin.Statement{View: k.view(now, service), Recorded: recorded, Software: record.Software}
}

// SoftwareOf returns the software version of an upstream that has just answered, empty if that isn't
// certain.
func (k *originKeeper) SoftwareOf(upstream registry.Upstream) fleet.SoftwareVersion {
	return k.state.softwareOf(upstream)
}

// Record records which software version began a stream, and until when its caller may take it up
// again.
func (k *originKeeper) Record(now time.Time, stream origin.Stream, until time.Time) {
	timeout := min(until.Sub(now), maxCallerTimeout)
	k.observeTimeout(timeout)
	record := origin.Record{Service: stream.Service, Software: stream.Software, Until: now.Add(timeout)}
	holders := k.records.Begin(now, stream.ID.Key(), record)
	k.count(origin.Recorded, 1)
	k.observeHolders(holders)
	k.schedule(now)
}

// Identification returns whether a stream may only be sent to the process that an upstream's entry describes. While
// the list can't be read, an upstream may have restarted with another version unnoticed. Only model engines tell when they started.
func (k *originKeeper) Identification(service fleet.ServiceID, continues bool) forward.Identification {
	configured, known := k.state.Table().Service(service)
	switch {
	case !known || configured.CacheTokens <= 0:
		return forward.NoIdentification
	case k.isMixed(service), continues:
		return forward.RequiredIdentification
	case k.state.directory.IsUnavailable():
		return forward.PreferredIdentification
	}
	return forward.NoIdentification
}

// isMixed reports whether the upstreams of a service have, or had lately, several software versions.
func (k *originKeeper) isMixed(service fleet.ServiceID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mixed[service]
}

func (k *originKeeper) observeTimeout(timeout time.Duration) {
	if longest := k.longestTimeout.Load(); int64(timeout) > longest {
		k.longestTimeout.CompareAndSwap(longest, int64(timeout))
	}
}

// Find returns the software version that began a stream of a service. The error is
// *origin.UnknownError if nothing tells it.
func (k *originKeeper) Find(ctx context.Context, service fleet.ServiceID, stream origin.StreamID) (origin.Finding, error) {
	now := time.Now()
	key := stream.Key()
	own := k.statement(now, service, key)
	if own.Recorded {
		if found, ok := origin.Resolve(own, nil, false); ok {
			return found, nil
		}
		return origin.Finding{}, &origin.UnknownError{Service: service, Versions: own.Versions}
	}
	timeout := mixedQueryTimeout
	if !own.IsMixed() && own.Complete && own.Current {
		timeout = soleQueryTimeout
	}
	holders := k.records.ForQuery(key)
	others := k.query(ctx, holders, service, key, timeout)
	found, ok := origin.Resolve(own, others, k.state.reachesMajority())
	if !ok && !own.IsMixed() && !isComplete(own, others) && k.mixedServices.ensureLoaded(ctx) {
		own = k.statement(now, service, key)
		found, ok = origin.Resolve(own, others, k.state.reachesMajority())
	}
	isUnconfirmed := false
	if ok && found.Source == origin.OnlyVersion {
		// The stream may have begun at a version that has registered since the list was confirmed.
		isUnconfirmed = !k.listCheck.confirm(ctx)
		own = k.statement(time.Now(), service, key)
		found, ok = origin.Resolve(own, others, k.state.reachesMajority())
	}
	if ok && !isUnconfirmed {
		return found, nil
	}
	unknown := &origin.UnknownError{Service: service, Versions: own.Versions, Asked: len(holders), Answered: len(others), IsUnconfirmed: isUnconfirmed}
	for _, s := range others {
		unknown.AddVersions(s.Versions)
	}
	return origin.Finding{}, unknown
}

// isComplete reports whether a router knows all versions for as long as a stream can be taken up.
func isComplete(own origin.Statement, others []origin.Statement) bool {
	return own.Complete || slices.ContainsFunc(others, func(s origin.Statement) bool { return s.Complete })
}

// updateMixed notes which services have several versions.
func (k *originKeeper) updateMixed() {
	now := time.Now()
	for _, service := range k.state.history.Services() {
		isMixed := k.view(now, service).IsMixed()
		k.mixedServices.set(service, isMixed)
		k.mu.Lock()
		wasMixed := k.mixed[service]
		if k.mixed == nil {
			k.mixed = make(map[fleet.ServiceID]bool)
		}
		k.mixed[service] = isMixed
		k.mu.Unlock()
		if isMixed && !wasMixed {
			k.log.Info("service has several software versions", "service", service, "versions", k.view(now, service).Versions)
		}
	}
}

// handleConnectionChange records which routers are connected.
func (k *originKeeper) handleConnectionChange(c peer.Change) {
	now := time.Now()
	if c.Connected {
		k.records.Connect(now, c.Router, c.DataCenter)
	} else {
		k.records.Disconnect(now, c.Router)
	}
	k.schedule(now)
}
