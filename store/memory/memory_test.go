package memory_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

func set(key store.Key, value string) store.Write {
	return store.Write{Key: key, Value: []byte(value)}
}

func rowValue(t *testing.T, p store.Table, key store.Key) string {
	t.Helper()
	rows, err := p.Read(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	return string(rows[0].Value)
}

func TestCommitAppliesAllOrNothing(t *testing.T) {
	t.Parallel()
	p := memory.New(timer.NewFake(time.Unix(1, 0)))
	require.NoError(t, p.Commit(t.Context(), store.Txn{
		Checks: []store.Check{{Key: "a"}},
		Writes: []store.Write{set("a", "1"), set("b", "1")},
	}))

	err := p.Commit(t.Context(), store.Txn{
		Checks: []store.Check{{Key: "b", Version: 1}, {Key: "a"}},
		Writes: []store.Write{set("b", "2")},
	})

	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, store.ConflictError{Key: "a", Expected: 0, Found: 1}, *conflict)
	require.Equal(t, "1", rowValue(t, p, "b"))
}

func TestVersionIncreasesAfterRemoval(t *testing.T) {
	t.Parallel()
	p := memory.New(timer.NewFake(time.Unix(1, 0)))
	require.NoError(t, p.Commit(t.Context(), store.Txn{Writes: []store.Write{set("a", "1")}}))
	require.NoError(t, p.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "a", Delete: true}}}))
	rows, err := p.Read(t.Context(), "a")
	require.NoError(t, err)
	require.Zero(t, rows[0].Version)
	require.NoError(t, p.Commit(t.Context(), store.Txn{
		Checks: []store.Check{{Key: "a"}}, Writes: []store.Write{set("a", "2")},
	}))
	rows, err = p.Read(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, store.RowVersion(3), rows[0].Version)
}

func TestScanIsOrderedAndBounded(t *testing.T) {
	t.Parallel()
	p := memory.New(timer.NewFake(time.Unix(1, 0)))
	for _, key := range []store.Key{"n/3", "n/1", "m/9", "n/2", "o/1"} {
		require.NoError(t, p.Commit(t.Context(), store.Txn{Writes: []store.Write{set(key, "x")}}))
	}
	keys := func(after store.Key, limit int) []store.Key {
		rows, err := p.Scan(t.Context(), "n/", after, limit)
		require.NoError(t, err)
		found := []store.Key{}
		for _, row := range rows {
			found = append(found, row.Key)
		}
		return found
	}
	require.Equal(t, []store.Key{"n/1", "n/2"}, keys("", 2))
	require.Equal(t, []store.Key{"n/3"}, keys("n/2", 2))
	require.Empty(t, keys("n/3", 2))
}

func TestFaultsOfACommit(t *testing.T) {
	t.Parallel()
	tests := []struct {
		kind           fault.Kind
		unknownOutcome bool
		atOnce         string
		afterDelay     string
	}{
		{kind: fault.Down},
		{kind: fault.RequestLost, unknownOutcome: true},
		{kind: fault.ReplyLost, unknownOutcome: true, atOnce: "1", afterDelay: "1"},
		{kind: fault.Late, unknownOutcome: true, afterDelay: "1"},
	}
	for _, test := range tests {
		t.Run(string(test.kind), func(t *testing.T) {
			t.Parallel()
			clock := timer.NewFake(time.Unix(1, 0))
			p := memory.New(clock)
			p.Faults.Set(fault.Fault{Kind: test.kind, Operation: memory.OperationCommit, Prefix: "a/", Times: 1, DelayMs: 50})

			err := p.Commit(t.Context(), store.Txn{Writes: []store.Write{set("a/1", "1")}})

			var unknownOutcome *store.UnknownOutcomeError
			var unavailable *store.UnavailableError
			require.Equal(t, test.unknownOutcome, errors.As(err, &unknownOutcome))
			require.Equal(t, !test.unknownOutcome, errors.As(err, &unavailable))
			require.Equal(t, test.atOnce, rowValue(t, p, "a/1"))
			clock.Advance(time.Second)
			require.Equal(t, test.afterDelay, rowValue(t, p, "a/1"))
			require.NoError(t, p.Commit(t.Context(), store.Txn{Writes: []store.Write{set("a/1", "2")}}))
		})
	}
}

// A caller cancels a write while the store is slow. The store has received the
// request and applies it later, so the caller must not treat it as not applied.
func TestSlowCommitTakesEffectAfterItsCallerLeft(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	p := memory.New(clock)
	p.Faults.Set(fault.Fault{Kind: fault.Slow, Operation: memory.OperationCommit, DelayMs: 100})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- p.Commit(ctx, store.Txn{Writes: []store.Write{set("a", "1")}}) }()
	require.Eventually(t, func() bool { return len(p.Faults.All()) == 1 && p.PendingWrites() == 1 }, time.Minute, time.Millisecond)
	cancel()

	var unknownOutcome *store.UnknownOutcomeError
	require.ErrorAs(t, <-result, &unknownOutcome)
	require.Empty(t, rowValue(t, p, "a"))
	clock.Advance(100 * time.Millisecond)
	require.Equal(t, "1", rowValue(t, p, "a"))
}

func TestStaleReads(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	p := memory.New(clock)
	for _, text := range []string{"1", "2", "3"} {
		require.NoError(t, p.Commit(t.Context(), store.Txn{Writes: []store.Write{set("a", text)}}))
		clock.Advance(time.Second)
	}
	read := func(f fault.Fault) string {
		f.Kind, f.Times = fault.Stale, 1
		p.Faults.Set(f)
		return rowValue(t, p, "a")
	}
	require.Equal(t, "2", read(fault.Fault{CommitsBehind: 1}))
	require.Empty(t, read(fault.Fault{CommitsBehind: 7}))
	require.Equal(t, "1", read(fault.Fault{AtCommit: 1}))
	require.Equal(t, "3", read(fault.Fault{AtCommit: 9}))
	require.Equal(t, "3", read(fault.Fault{DelayMs: 1000}))
	require.Equal(t, "1", read(fault.Fault{DelayMs: 2500}))
	require.Equal(t, "3", rowValue(t, p, "a"))
}

func TestVMListLags(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	p := memory.New(clock)
	p.SetVMListLag(5 * time.Second)
	names := func() []string {
		vms, err := p.List(t.Context())
		require.NoError(t, err)
		found := []string{}
		for _, vm := range vms {
			found = append(found, vm.Name)
		}
		return found
	}
	require.Empty(t, names())
	p.SetVMs(store.VM{Name: "r1"})
	require.Equal(t, []string{"r1"}, names())
	p.SetVMs(store.VM{Name: "r2"})
	clock.Advance(4 * time.Second)
	require.Equal(t, []string{"r1"}, names())
	clock.Advance(time.Second)
	require.Equal(t, []string{"r2"}, names())
}

func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(1, 0))
	p := memory.New(clock)
	p.SetRateLimits(0, 2)
	commit := func() error {
		return p.Commit(t.Context(), store.Txn{Writes: []store.Write{set("a", "1")}})
	}
	require.NoError(t, commit())
	require.NoError(t, commit())
	var unavailable *store.UnavailableError
	require.ErrorAs(t, commit(), &unavailable)
	require.ErrorIs(t, unavailable, memory.ErrRateLimited)
	require.Equal(t, uint64(2), p.Commits())
	require.Equal(t, map[string]int{memory.OperationCommit: 3}, p.OperationCounts())
	clock.Advance(500 * time.Millisecond)
	require.NoError(t, commit())
}
