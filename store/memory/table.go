package memory

import (
	"cmp"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
)

// retention is how long a replaced value of a row stays readable for stale reads.
const retention = 10 * time.Minute

// sweepEvery is the number of commits between two sweeps of removed rows.
const sweepEvery = 4096

// table keeps each row's recent values, so that a stale read can return them.
// Its zero value is empty. A row's version is the number of the commit that
// wrote it, so that it grows also over a removal.
type table struct {
	commits uint64
	times   []commitTime
	keys    []store.Key
	history map[store.Key][]value
}

type value struct {
	commit  uint64
	at      time.Time
	data    []byte
	removed bool
}

type commitTime struct {
	commit uint64
	at     time.Time
}

// row returns the row as it was after a commit.
func (t *table) row(at uint64, key store.Key) store.Row {
	values := t.history[key]
	for i := len(values) - 1; i >= 0; i-- {
		v := values[i]
		if v.commit > at {
			continue
		}
		if v.removed {
			break
		}
		return store.Row{Key: key, Value: slices.Clone(v.data), Version: store.RowVersion(v.commit)}
	}
	return store.Row{Key: key}
}

func (t *table) read(at uint64, keys []store.Key) []store.Row {
	rows := make([]store.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.row(at, key)
	}
	return rows
}

func (t *table) scan(at uint64, prefix, after store.Key, limit int) []store.Row {
	rows := []store.Row{}
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for _, key := range t.keys[start:] {
		if len(rows) >= limit || !hasPrefix(key, prefix) {
			break
		}
		if row := t.row(at, key); key > after && row.Version != 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// changes returns the rows of a prefix that a commit after the given one wrote
// or removed, in the order of their commits. Those removed have no value.
func (t *table) changes(after uint64, prefix store.Key) []Change {
	var changes []Change
	for _, key := range t.keys {
		values := t.history[key]
		last := values[len(values)-1]
		if last.commit <= after || !hasPrefix(key, prefix) {
			continue
		}
		row := store.Row{Key: key, Version: store.RowVersion(last.commit)}
		if !last.removed {
			row.Value = slices.Clone(last.data)
		}
		changes = append(changes, Change{Row: row, Removed: last.removed})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Row.Version, b.Row.Version) })
	return changes
}

func (t *table) commit(now time.Time, txn store.Txn) error {
	for _, check := range txn.Checks {
		found := t.row(t.commits, check.Key).Version
		if found != check.Version {
			return &store.ConflictError{Key: check.Key, Expected: check.Version, Found: found}
		}
	}
	t.commits++
	t.times = append(t.times, commitTime{commit: t.commits, at: now})
	for _, write := range txn.Writes {
		t.write(now, write)
	}
	if t.commits%sweepEvery == 0 {
		t.sweep(now)
	}
	return nil
}

func (t *table) write(now time.Time, write store.Write) {
	if t.history == nil {
		t.history = map[store.Key][]value{}
	}
	if _, known := t.history[write.Key]; !known {
		i, _ := slices.BinarySearch(t.keys, write.Key)
		t.keys = slices.Insert(t.keys, i, write.Key)
	}
	values := dropOld(t.history[write.Key], now)
	t.history[write.Key] = append(values, value{
		commit: t.commits, at: now, data: slices.Clone(write.Value), removed: write.Delete,
	})
}

// dropOld drops the values that were replaced longer ago than retention.
func dropOld(values []value, now time.Time) []value {
	for len(values) > 1 && now.Sub(values[1].at) > retention {
		values = values[1:]
	}
	return values
}

// sweep drops rows that were removed, and the times of commits, longer ago than retention.
func (t *table) sweep(now time.Time) {
	t.keys = slices.DeleteFunc(t.keys, func(key store.Key) bool {
		values := t.history[key]
		last := values[len(values)-1]
		if !last.removed || now.Sub(last.at) <= retention {
			return false
		}
		delete(t.history, key)
		return true
	})
	for len(t.times) > 1 && now.Sub(t.times[1].at) > retention {
		t.times = t.times[1:]
	}
}

// staleCommit returns the commit that a stale read sees: a given one, a number of commits
// back, or the last one that is as old as the fault's delay.
func (t *table) staleCommit(f fault.Fault, now time.Time) uint64 {
	if f.Commit > 0 {
		return min(t.commits, uint64(f.Commit))
	}
	if f.Commits > 0 {
		return t.commits - min(t.commits, uint64(f.Commits))
	}
	seen := uint64(0)
	for _, c := range t.times {
		if now.Sub(c.at) >= f.Delay() {
			seen = c.commit
		}
	}
	return seen
}
