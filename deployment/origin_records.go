package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// mixedOriginDelay is how long records wait to be sent together while a service has several versions. It is shorter than the
	// time in which a caller notices a broken connection and returns.
	mixedOriginDelay = 10 * time.Millisecond
	// soleOriginDelay is the delay while it has one. Other routers need the records only if a second version appears after
	// this router has stopped.
	soleOriginDelay = 100 * time.Millisecond
)

// receive handles the records in a batch from another router.
func (k *originKeeper) receive(batch *schema.Batch) {
	now := time.Now()
	for _, o := range batch.GetStreamOrigins() {
		var key origin.Key
		if copy(key[:], o.GetStream()) != len(key) {
			continue
		}
		left := min(schema.Duration(o.GetLeftMs()), maxCallerTimeout)
		k.table.Set(now, key, origin.Record{
			Service: fleet.ServiceID(o.GetService()), Software: fleet.SoftwareVersion(o.GetSoftwareVersion()), Until: now.Add(left),
		})
	}
}

// queue queues records for the routers that hold them, and sends them after a delay at the latest.
func (k *originKeeper) queue(now time.Time, records map[origin.Key]origin.Record, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, r := range records {
		message := &schema.StreamOrigin{
			Stream: key[:], Service: string(r.Service), SoftwareVersion: string(r.Software), LeftMs: schema.Millis(r.Until.Sub(now)),
		}
		for _, router := range k.holders.ForRecord(key) {
			if k.pending == nil {
				k.pending = make(map[fleet.RouterID][]*schema.StreamOrigin)
			}
			k.pending[router] = append(k.pending[router], message)
		}
	}
	if at := now.Add(delay); len(k.pending) > 0 && (k.flushAt.IsZero() || at.Before(k.flushAt)) {
		k.flushAt = at
		time.AfterFunc(delay, func() { k.guard.Run(recovery.Message, k.flush) })
	}
}

// flush sends the queued records.
func (k *originKeeper) flush() {
	k.mu.Lock()
	pending := k.pending
	k.pending, k.flushAt = nil, time.Time{}
	k.mu.Unlock()
	for router, origins := range pending {
		k.send(router, &schema.Batch{StreamOrigins: origins})
	}
}
