package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

// originDelay is how long records wait to be sent together. It is shorter than the time in which a
// caller notices a broken connection and returns.
const originDelay = 10 * time.Millisecond

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

// queue queues records for the routers that hold them.
func (k *originKeeper) queue(now time.Time, records map[origin.Key]origin.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wasEmpty := len(k.pending) == 0
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
	if wasEmpty && len(k.pending) > 0 {
		time.AfterFunc(originDelay, func() { k.guard.Run(recovery.Message, k.flush) })
	}
}

// flush sends the queued records.
func (k *originKeeper) flush() {
	k.mu.Lock()
	pending := k.pending
	k.pending = nil
	k.mu.Unlock()
	for router, origins := range pending {
		k.send(router, &schema.Batch{StreamOrigins: origins})
	}
}
