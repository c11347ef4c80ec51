package origin

import (
	"crypto/sha256"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// maxRecords bounds the records of a Table. With 250 bytes for each record the table takes 8 MB
// at most.
const maxRecords = 32 << 10

// StreamID identifies a stream among all accounts' streams.
type StreamID struct {
	Account fleet.AccountID
	// Attempt is the id of the attempt that brought the first event, empty if the caller doesn't name
	// it.
	Attempt fleet.RequestID
}

// Key is a hash of a StreamID. Callers choose the ids of their attempts, so the hash must be
// collision resistant.
type Key [16]byte

// Key returns the key of a stream. Without an attempt it is the zero Key, for which there is never a
// record: callers that don't name their streams must not get each other's.
func (s StreamID) Key() Key {
	if s.Attempt == "" {
		return Key{}
	}
	sum := sha256.Sum256([]byte(string(s.Account) + "\x00" + string(s.Attempt)))
	return Key(sum[:16])
}

// Stream is a stream and the software version that began it.
type Stream struct {
	ID      StreamID
	Service fleet.ServiceID
	// Software is empty if the version can't be known.
	Software fleet.SoftwareVersion
}

// Record is the software version that began a stream of a service.
type Record struct {
	Service fleet.ServiceID
	// Software is empty if it is certain that the version can't be known.
	Software fleet.SoftwareVersion
	// Until is when the stream can't be taken up again any more.
	Until time.Time

	// keeper is the router that chooses the holders, empty if it is this one, and holders are those that it has chosen.
	keeper  fleet.RouterID
	holders []fleet.RouterID
}

// Table holds the records of streams until they expire. When it is full, the older half is
// dropped. Its zero value is empty. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// current holds the records since the latest rotation, and previous those before.
	current, previous map[Key]Record
	// currentEnd is when the last record of current expires, and previousEnd that of previous.
	currentEnd, previousEnd time.Time
}

// Set records a stream. An earlier record of the same stream is replaced, but never by one that
// expires earlier.
func (t *Table) Set(now time.Time, key Key, r Record) {
	if key == (Key{}) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.find(now, key); ok && known.Until.After(r.Until) {
		r.Until = known.Until
	}
	if len(t.current) >= maxRecords/2 || (len(t.current) > 0 && !now.Before(t.previousEnd)) {
		t.rotate()
	}
	if t.current == nil {
		t.current = make(map[Key]Record)
	}
	t.current[key] = r
	delete(t.previous, key)
	if r.Until.After(t.currentEnd) {
		t.currentEnd = r.Until
	}
}

// rotate drops the previous records.
func (t *Table) rotate() {
	t.previous, t.previousEnd = t.current, t.currentEnd
	t.current, t.currentEnd = nil, time.Time{}
}

// Get returns the record of a stream, and false if there is none.
func (t *Table) Get(now time.Time, key Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(now, key)
}

func (t *Table) find(now time.Time, key Key) (Record, bool) {
	r, known := t.current[key]
	if !known {
		r, known = t.previous[key]
	}
	return r, known && now.Before(r.Until)
}

// Len returns the number of records, expired ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.current) + len(t.previous)
}

// update calls fn with the records that haven't expired, and replaces those that fn has changed. It must not use the table.
func (t *Table) update(now time.Time, fn func(key Key, r *Record) (changed bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, generation := range []map[Key]Record{t.previous, t.current} {
		for key, r := range generation {
			if now.Before(r.Until) && fn(key, &r) {
				generation[key] = r
			}
		}
	}
}
