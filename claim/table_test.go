package claim_test

import (
	"context"
	"errors"
	"slices"
	"strings"

	"nutmeglock.example/nutmeglock/store"
)

// faultKind is the fault of one call of the table.
type faultKind int

// Late transactions are applied by applyPending; stale reads return the previous
// version of a row.
const (
	noFault faultKind = iota
	down
	replyLost
	requestLost
	late
	stale
)

var errFault = errors.New("fault")

// faultyTable is an in-memory table whose faults are chosen by nextFault.
type faultyTable struct {
	nextFault func(write bool) faultKind
	history   map[store.Key][]store.Row
	version   store.RowVersion
	commits   int
	pending   []store.Txn
}

func (t *faultyTable) drawFault(write bool) faultKind {
	if t.nextFault == nil {
		return noFault
	}
	return t.nextFault(write)
}

func (t *faultyTable) latest(key store.Key) store.Row {
	if versions := t.history[key]; len(versions) > 0 {
		return versions[len(versions)-1]
	}
	return store.Row{Key: key}
}

func (t *faultyTable) Read(_ context.Context, keys ...store.Key) ([]store.Row, error) {
	fault := t.drawFault(false)
	if fault == down {
		return nil, &store.UnavailableError{Operation: "read", Cause: errFault}
	}
	out := make([]store.Row, 0, len(keys))
	for _, key := range keys {
		row := t.latest(key)
		if n := len(t.history[key]); fault == stale && n > 0 {
			row = store.Row{Key: key}
			if n > 1 {
				row = t.history[key][n-2]
			}
		}
		out = append(out, row)
	}
	return out, nil
}

func (t *faultyTable) Scan(_ context.Context, prefix, after store.Key, limit int) ([]store.Row, error) {
	if t.drawFault(false) == down {
		return nil, &store.UnavailableError{Operation: "scan", Cause: errFault}
	}
	var out []store.Row
	for key := range t.history {
		if row := t.latest(key); row.Version > 0 && strings.HasPrefix(string(key), string(prefix)) && key > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return out[:min(limit, len(out))], nil
}

func (t *faultyTable) Commit(_ context.Context, txn store.Txn) error {
	t.commits++
	lost := &store.UnknownOutcomeError{Operation: "commit", Cause: errFault}
	switch t.drawFault(true) {
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

func (t *faultyTable) apply(txn store.Txn) error {
	for _, check := range txn.Checks {
		if found := t.latest(check.Key).Version; found != check.Version {
			return &store.ConflictError{Key: check.Key, Expected: check.Version, Found: found}
		}
	}
	if t.history == nil {
		t.history = map[store.Key][]store.Row{}
	}
	t.version++
	for _, w := range txn.Writes {
		row := store.Row{Key: w.Key}
		if !w.Delete {
			row = store.Row{Key: w.Key, Value: w.Value, Version: t.version}
		}
		t.history[w.Key] = append(t.history[w.Key], row)
	}
	return nil
}

// applyPending applies the pending transaction at i if its checks hold.
func (t *faultyTable) applyPending(i int) {
	txn := t.pending[i]
	t.pending = slices.Delete(t.pending, i, i+1)
	_ = t.apply(txn)
}

// faultSequence returns a function that returns faults in order, then noFault.
func faultSequence(faults ...faultKind) func(bool) faultKind {
	return func(bool) faultKind {
		if len(faults) == 0 {
			return noFault
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}
