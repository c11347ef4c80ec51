package memory

import (
	"cmp"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
)

// retention is how long a replaced value of a row stays available to stale reads.
const retention = 10 * time.Minute

// sweepInterval is the number of commits between sweeps of removed rows.
const sweepInterval = 4096

// table keeps the recent values of each row for stale reads. The zero value is
// an empty table. A row's version is the number of the commit that wrote it, so
// it keeps increasing when a removed row is written again.
type table struct {
	lastCommit  uint64
	commitTimes []commitTime
	keys        []store.Key
	history     map[store.Key][]rowValue
}

type rowValue struct {
	commit    uint64
	writtenAt time.Time
	data      []byte
	removed   bool
}

type commitTime struct {
	commit      uint64
	committedAt time.Time
}

// row returns a row as of the given commit.
func (t *table) row(commit uint64, key store.Key) store.Row {
	values := t.history[key]
	for i := len(values) - 1; i >= 0; i-- {
		v := values[i]
		if v.commit > commit {
			continue
		}
		if v.removed {
			break
		}
		return store.Row{Key: key, Value: slices.Clone(v.data), Version: store.RowVersion(v.commit)}
	}
	return store.Row{Key: key}
}

func (t *table) read(commit uint64, keys []store.Key) []store.Row {
	rows := make([]store.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.row(commit, key)
	}
	return rows
}

func (t *table) scan(commit uint64, prefix, after store.Key, limit int) []store.Row {
	rows := []store.Row{}
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for _, key := range t.keys[start:] {
		if len(rows) >= limit || !keyHasPrefix(key, prefix) {
			break
		}
		if row := t.row(commit, key); key > after && row.Version != 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// changes returns the rows under a prefix that were written or removed after
// the given commit, in commit order. Removed rows have no value.
func (t *table) changes(after uint64, prefix store.Key) []Change {
	var changes []Change
	for _, key := range t.keys {
		values := t.history[key]
		last := values[len(values)-1]
		if last.commit <= after || !keyHasPrefix(key, prefix) {
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
		found := t.row(t.lastCommit, check.Key).Version
		if found != check.Version {
			return &store.ConflictError{Key: check.Key, Expected: check.Version, Found: found}
		}
	}
	t.lastCommit++
	t.commitTimes = append(t.commitTimes, commitTime{commit: t.lastCommit, committedAt: now})
	for _, write := range txn.Writes {
		t.write(now, write)
	}
	if t.lastCommit%sweepInterval == 0 {
		t.sweep(now)
	}
	return nil
}

func (t *table) write(now time.Time, write store.Write) {
	if t.history == nil {
		t.history = map[store.Key][]rowValue{}
	}
	if _, known := t.history[write.Key]; !known {
		i, _ := slices.BinarySearch(t.keys, write.Key)
		t.keys = slices.Insert(t.keys, i, write.Key)
	}
	values := dropExpired(t.history[write.Key], now)
	t.history[write.Key] = append(values, rowValue{
		commit: t.lastCommit, writtenAt: now, data: slices.Clone(write.Value), removed: write.Delete,
	})
}

// truncate drops all transactions after a time.
func (t *table) truncate(end time.Time) {
	n, _ := slices.BinarySearchFunc(t.commitTimes, end, func(c commitTime, end time.Time) int {
		if c.committedAt.After(end) {
			return 1
		}
		return -1
	})
	t.commitTimes = t.commitTimes[:n]
	t.lastCommit = 0
	if n > 0 {
		t.lastCommit = t.commitTimes[n-1].commit
	}
	t.keys = slices.DeleteFunc(t.keys, func(key store.Key) bool {
		values := t.history[key]
		for len(values) > 0 && values[len(values)-1].commit > t.lastCommit {
			values = values[:len(values)-1]
		}
		t.history[key] = values
		if len(values) == 0 {
			delete(t.history, key)
		}
		return len(values) == 0
	})
}

// dropExpired drops the values that were replaced more than retention ago.
func dropExpired(values []rowValue, now time.Time) []rowValue {
	for len(values) > 1 && now.Sub(values[1].writtenAt) > retention {
		values = values[1:]
	}
	return values
}

// sweep drops rows removed more than retention ago, and commit times older than that.
func (t *table) sweep(now time.Time) {
	t.keys = slices.DeleteFunc(t.keys, func(key store.Key) bool {
		values := t.history[key]
		last := values[len(values)-1]
		if !last.removed || now.Sub(last.writtenAt) <= retention {
			return false
		}
		delete(t.history, key)
		return true
	})
	for len(t.commitTimes) > 1 && now.Sub(t.commitTimes[1].committedAt) > retention {
		t.commitTimes = t.commitTimes[1:]
	}
}

// staleCommit returns the commit whose state a stale read returns: the one that
// the fault names, the one a number of commits back, or the latest one that is
// at least as old as the fault's delay.
func (t *table) staleCommit(f fault.Fault, now time.Time) uint64 {
	if f.AtCommit > 0 {
		return min(t.lastCommit, uint64(f.AtCommit))
	}
	if f.CommitsBehind > 0 {
		return t.lastCommit - min(t.lastCommit, uint64(f.CommitsBehind))
	}
	visible := uint64(0)
	for _, c := range t.commitTimes {
		if now.Sub(c.committedAt) >= f.Delay() {
			visible = c.commit
		}
	}
	return visible
}
