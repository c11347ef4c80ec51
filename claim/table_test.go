package claim_test

import (
	"context"
	"errors"
	"slices"
	"strings"

	"nutmeglock.example/nutmeglock/store"
)

// effect is what befalls one call of the table.
type effect int

const (
	none effect = iota
	down
	replyLost
	requestLost
	late
	stale
)

var errFault = errors.New("fault")

// table is a platform table whose faults are drawn by next.
type table struct {
	next    func(write bool) effect
	rows    map[store.Key][]store.Row
	version store.RowVersion
	commits int
	pending []store.Txn
}

func (t *table) fault(write bool) effect {
	if t.next == nil {
		return none
	}
	return t.next(write)
}

func (t *table) latest(key store.Key) store.Row {
	if all := t.rows[key]; len(all) > 0 {
		return all[len(all)-1]
	}
	return store.Row{Key: key}
}

func (t *table) Read(_ context.Context, keys ...store.Key) ([]store.Row, error) {
	f := t.fault(false)
	if f == down {
		return nil, &store.UnavailableError{Operation: "read", Cause: errFault}
	}
	out := make([]store.Row, 0, len(keys))
	for _, key := range keys {
		row := t.latest(key)
		if n := len(t.rows[key]); f == stale && n > 0 {
			row = store.Row{Key: key}
			if n > 1 {
				row = t.rows[key][n-2]
			}
		}
		out = append(out, row)
	}
	return out, nil
}

func (t *table) Scan(_ context.Context, prefix, after store.Key, limit int) ([]store.Row, error) {
	if t.fault(false) == down {
		return nil, &store.UnavailableError{Operation: "scan", Cause: errFault}
	}
	var out []store.Row
	for key := range t.rows {
		if row := t.latest(key); row.Version > 0 && strings.HasPrefix(string(key), string(prefix)) && key > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return out[:min(limit, len(out))], nil
}

func (t *table) Commit(_ context.Context, txn store.Txn) error {
	t.commits++
	lost := &store.IndefiniteError{Operation: "commit", Cause: errFault}
	switch t.fault(true) {
	case down:
		return &store.UnavailableError{Operation: "commit", Cause: errFault}
	case replyLost:
		_ = t.apply(txn)
		return lost
	case requestLost:
		return lost
	case late:
		t.pending = append(t.pending, txn)
		return lost
	default:
		return t.apply(txn)
	}
}

func (t *table) apply(txn store.Txn) error {
	for _, check := range txn.Checks {
		if found := t.latest(check.Key).Version; found != check.Version {
			return &store.ConflictError{Key: check.Key, Expected: check.Version, Found: found}
		}
	}
	if t.rows == nil {
		t.rows = map[store.Key][]store.Row{}
	}
	t.version++
	for _, w := range txn.Writes {
		row := store.Row{Key: w.Key}
		if !w.Delete {
			row = store.Row{Key: w.Key, Value: w.Value, Version: t.version}
		}
		t.rows[w.Key] = append(t.rows[w.Key], row)
	}
	return nil
}

// land lets the pending transaction at i take effect, if its checks hold.
func (t *table) land(i int) {
	txn := t.pending[i]
	t.pending = slices.Delete(t.pending, i, i+1)
	_ = t.apply(txn)
}

// script returns faults in turn, then none.
func script(faults ...effect) func(bool) effect {
	return func(bool) effect {
		if len(faults) == 0 {
			return none
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}
