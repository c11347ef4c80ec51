package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

// receive handles the records in a batch from another router.
func (k *originKeeper) receive(from fleet.RouterID, batch *schema.Batch) {
	now := time.Now()
	for _, o := range batch.GetStreamOrigins() {
		var key origin.Key
		if copy(key[:], o.GetStream()) != len(key) {
			continue
		}
		k.count(origin.CopyReceived, 1)
		left := min(schema.Duration(o.GetLeftMs()), maxCallerTimeout)
		k.records.Receive(now, from, key, origin.Record{
			Service: fleet.ServiceID(o.GetService()), Software: fleet.SoftwareVersion(o.GetSoftwareVersion()), Until: now.Add(left),
		})
	}
}

// schedule sends the pending copies once they are due.
func (k *originKeeper) schedule(now time.Time) {
	due := k.records.DueAt()
	k.mu.Lock()
	defer k.mu.Unlock()
	if due.IsZero() || (!k.flushAt.IsZero() && !due.Before(k.flushAt)) {
		return
	}
	k.flushAt = due
	time.AfterFunc(due.Sub(now), func() { k.guard.Run(recovery.Message, k.flush) })
}

// flush sends the copies that are due.
func (k *originKeeper) flush() {
	k.mu.Lock()
	k.flushAt = time.Time{}
	k.mu.Unlock()
	now := time.Now()
	due, takenOver := k.records.Take(now)
	k.count(origin.TakenOver, takenOver)
	for router, copies := range due {
		batch := &schema.Batch{}
		for _, c := range copies {
			event := origin.CopySent
			if c.Moved {
				event = origin.CopyMoved
			}
			k.count(event, 1)
			batch.StreamOrigins = append(batch.StreamOrigins, &schema.StreamOrigin{
				Stream: c.Key[:], Service: string(c.Record.Service), SoftwareVersion: string(c.Record.Software),
				LeftMs: schema.Millis(c.Record.Until.Sub(now)),
			})
		}
		k.send(router, batch)
	}
	k.schedule(now)
}

// observeHolders counts a record that no other router holds, and logs the first one and the end of that state.
func (k *originKeeper) observeHolders(holders int) {
	isUnheld := holders == 0
	if isUnheld {
		k.count(origin.Unheld, 1)
	}
	k.mu.Lock()
	changed := k.isUnheld != isUnheld
	k.isUnheld = isUnheld
	k.mu.Unlock()
	switch {
	case !changed:
	case isUnheld:
		k.log.Warn("stream origins have no holder", "routers", k.records.Routers())
	default:
		k.log.Info("stream origins have holders again", "routers", k.records.Routers())
	}
}

// count counts what happened to records.
func (k *originKeeper) count(event origin.Event, records int) {
	if k.metrics != nil {
		k.metrics.OriginRecords.WithLabelValues(string(event)).Add(float64(records))
	}
}
