package memory_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

// Compares reads and scans that are stale by any number of commits with a copy
// of the whole table taken after each commit.
func TestStaleReadsMatchSnapshots(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := memory.New(timer.NewFake(time.Unix(1, 0)))
		snapshots := []map[store.Key]store.Row{{}}
		for range rapid.IntRange(0, 20).Draw(r, "commits") {
			snapshots = append(snapshots, commit(r, p, maps.Clone(snapshots[len(snapshots)-1]), len(snapshots)))
		}
		commitsBehind := rapid.IntRange(0, len(snapshots)).Draw(r, "behind")
		if commitsBehind > 0 {
			p.Faults.Set(fault.Fault{Kind: fault.Stale, CommitsBehind: commitsBehind})
		}
		expected := snapshots[max(0, len(snapshots)-1-commitsBehind)]

		after := key(rapid.IntRange(-1, 5).Draw(r, "after"))
		limit := rapid.IntRange(0, 6).Draw(r, "limit")
		rows, err := p.Scan(t.Context(), "k/", after, limit)

		require.NoError(r, err)
		expectedRows := []store.Row{}
		for _, k := range slices.Sorted(maps.Keys(expected)) {
			if k > after && len(expectedRows) < limit {
				expectedRows = append(expectedRows, expected[k])
			}
		}
		require.Equal(r, expectedRows, rows)
		for i := range 5 {
			rows, err := p.Read(t.Context(), key(i))
			require.NoError(r, err)
			require.Equal(r, expected[key(i)].Version, rows[0].Version)
			require.Equal(r, string(expected[key(i)].Value), string(rows[0].Value))
		}
	})
}

func key(i int) store.Key { return store.Key(fmt.Sprintf("k/%d", i)) }

// commit commits a random transaction and returns state with its writes applied.
func commit(r *rapid.T, p *memory.Platform, state map[store.Key]store.Row, number int) map[store.Key]store.Row {
	txn := store.Txn{Writes: []store.Write{{Key: "other", Value: []byte("x")}}}
	for i := range 5 {
		k := key(i)
		switch rapid.IntRange(0, 3).Draw(r, "action") {
		case 0:
			value := fmt.Appendf(nil, "%d", number)
			txn.Writes = append(txn.Writes, store.Write{Key: k, Value: value})
			state[k] = store.Row{Key: k, Value: value, Version: store.RowVersion(number)}
		case 1:
			txn.Writes = append(txn.Writes, store.Write{Key: k, Delete: true})
			delete(state, k)
		default:
			txn.Checks = append(txn.Checks, store.Check{Key: k, Version: state[k].Version})
		}
	}
	require.NoError(r, p.Commit(r.Context(), txn))
	return state
}
