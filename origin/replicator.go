package origin

import (
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// SendDelay is how long copies wait to be sent together. It is shorter than the time in which a caller notices a broken
	// connection and returns.
	SendDelay = 10 * time.Millisecond
	// rebalanceInterval is the shortest time between two changes of holders, so that routers that connect one by one cause few.
	rebalanceInterval = 100 * time.Millisecond
	// maxMoved bounds the copies that are sent after changes of holders, in SendDelay.
	maxMoved = 128
)

// Copy is a record that another router is to hold.
type Copy struct {
	Key    Key
	Record Record
	// Moved is set if the router is a new holder, or has connected again.
	Moved bool
}

// Replicator holds the records of the streams that began at this router and copies of other routers' records, and keeps
// two copies of each record at other routers while routers come and go. Each record has a keeper, which chooses its holders
// again whenever the connected routers change. If the keeper is lost, the holders keep the record in its place.
//
// It does no input or output: once DueAt has come, Take returns the copies to be sent. Its zero value is empty. It is safe for
// concurrent use.
type Replicator struct {
	// DataCenter is that of this router.
	DataCenter fleet.DataCenterID

	table Table

	mu sync.Mutex
	// others are the connected routers, of which holders are chosen.
	others  map[fleet.RouterID]fleet.DataCenterID
	holders Holders
	// connected and disconnected are the routers that have done so since the holders were last chosen again.
	connected, disconnected map[fleet.RouterID]bool
	// changedAt is when the first of them did, zero if none has.
	changedAt, rebalancedAt time.Time
	// fresh holds the records that are sent for the first time, and moved those that have a new holder.
	fresh, moved     map[fleet.RouterID][]Key
	freshAt, movedAt time.Time
}

// Begin records a stream that has begun at this router, and returns the number of routers that are to hold a copy.
func (r *Replicator) Begin(now time.Time, key Key, record Record) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	record.keeper, record.holders = "", r.holders.ForRecord(key)
	r.table.Set(now, key, record)
	for _, holder := range record.holders {
		enqueue(&r.fresh, holder, key)
	}
	if len(r.fresh) > 0 && r.freshAt.IsZero() {
		r.freshAt = now
	}
	return len(record.holders)
}

// Receive stores a copy that a router has sent. If it contradicts what is known of the stream, the version isn't certain.
func (r *Replicator) Receive(now time.Time, from fleet.RouterID, key Key, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record.keeper, record.holders = from, nil
	if known, ok := r.table.Get(now, key); ok {
		if known.keeper == "" {
			record.keeper, record.holders = "", known.holders
		}
		if known.Software != record.Software {
			record.Software = ""
		}
	}
	r.table.Set(now, key, record)
}

// Get returns the record of a stream, and false if there is none.
func (r *Replicator) Get(now time.Time, key Key) (Record, bool) { return r.table.Get(now, key) }

// Len returns the number of records, expired ones included.
func (r *Replicator) Len() int { return r.table.Len() }

// ForQuery returns the routers that are asked for the record of a stream, as Holders.ForQuery does.
func (r *Replicator) ForQuery(key Key) []fleet.RouterID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holders.ForQuery(key)
}

// Connect notes that a router is connected. It may have started, or lost what was on its way to it.
func (r *Replicator) Connect(now time.Time, router fleet.RouterID, dataCenter fleet.DataCenterID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	put(&r.others, router, dataCenter)
	put(&r.connected, router, true)
	r.noteChange(now)
}

// Disconnect notes that a router isn't connected any more.
func (r *Replicator) Disconnect(now time.Time, router fleet.RouterID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.others, router)
	delete(r.connected, router)
	put(&r.disconnected, router, true)
	delete(r.fresh, router) // its records get another holder
	delete(r.moved, router)
	r.noteChange(now)
}

// noteChange has the holders of all records chosen again soon, and those of new ones among the routers that are connected now.
func (r *Replicator) noteChange(now time.Time) {
	if r.changedAt.IsZero() {
		r.changedAt = now
	}
	r.holders = NewHolders(r.DataCenter, r.others)
}

// Routers returns the number of connected routers.
func (r *Replicator) Routers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.others)
}

// DueAt returns when Take has to be called, zero if nothing has to be sent.
func (r *Replicator) DueAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due time.Time
	add := func(isPending bool, at time.Time) {
		if isPending && (due.IsZero() || at.Before(due)) {
			due = at
		}
	}
	add(len(r.fresh) > 0, r.freshAt.Add(SendDelay))
	add(len(r.moved) > 0, r.movedAt.Add(SendDelay))
	add(!r.changedAt.IsZero(), r.rebalanceAt())
	return due
}

// rebalanceAt returns when the holders are chosen again.
func (r *Replicator) rebalanceAt() time.Time {
	at := r.changedAt.Add(SendDelay)
	if next := r.rebalancedAt.Add(rebalanceInterval); next.After(at) {
		return next
	}
	return at
}

// Take returns the copies that are to be sent now by router, and the number of records that this router keeps from now on since
// their keepers are lost.
func (r *Replicator) Take(now time.Time) (out map[fleet.RouterID][]Copy, takenOver int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changedAt.IsZero() && !now.Before(r.rebalanceAt()) {
		takenOver = r.rebalance(now)
	}
	out = make(map[fleet.RouterID][]Copy)
	r.take(now, r.fresh, out, false, maxRecords)
	r.take(now, r.moved, out, true, maxMoved)
	r.freshAt, r.movedAt = time.Time{}, now
	return out, takenOver
}

// take moves at most limit records from the pending ones to out.
func (r *Replicator) take(now time.Time, pending map[fleet.RouterID][]Key, out map[fleet.RouterID][]Copy, isMoved bool, limit int) {
	for router, keys := range pending {
		count := min(limit, len(keys))
		limit -= count
		for _, key := range keys[:count] {
			if record, known := r.table.Get(now, key); known {
				out[router] = append(out[router], Copy{Key: key, Record: record, Moved: isMoved})
			}
		}
		if pending[router] = keys[count:]; count == len(keys) {
			delete(pending, router)
		}
	}
}

// rebalance chooses the holders of all records again that this router keeps, after the connected routers have changed. It
// returns the number of records that it has begun to keep.
func (r *Replicator) rebalance(now time.Time) (takenOver int) {
	candidates := r.holders.among(func(id fleet.RouterID) bool { return r.connected[id] })
	r.table.update(now, func(key Key, record *Record) bool {
		if record.keeper == "" {
			return r.reassign(key, record, candidates)
		}
		if !r.disconnected[record.keeper] {
			return false
		}
		record.keeper = ""
		takenOver++
		r.reassign(key, record, candidates)
		return true
	})
	r.connected, r.disconnected = nil, nil
	r.changedAt, r.rebalancedAt = time.Time{}, now
	return takenOver
}

// reassign chooses the holders of a record again, and returns whether they have changed. If all have stayed, they need only be
// compared with the candidates, which have connected since.
func (r *Replicator) reassign(key Key, record *Record, candidates Holders) (changed bool) {
	before := record.holders
	switch {
	case len(before) < copies || slices.ContainsFunc(before, func(id fleet.RouterID) bool { return r.disconnected[id] }):
		record.holders = r.holders.ForRecord(key)
	case len(r.connected) == 0:
		return false
	default:
		record.holders = candidates.with(before).ForRecord(key)
	}
	for _, holder := range record.holders {
		if r.connected[holder] || !slices.Contains(before, holder) {
			enqueue(&r.moved, holder, key)
		}
	}
	return !slices.Equal(before, record.holders)
}

// enqueue adds a record to those that are pending for a router.
func enqueue(pending *map[fleet.RouterID][]Key, router fleet.RouterID, key Key) {
	put(pending, router, append((*pending)[router], key))
}

// put sets a value of a map, which may be nil.
func put[K comparable, V any](m *map[K]V, key K, value V) {
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[key] = value
}
