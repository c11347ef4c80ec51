package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func keyOf(i int) origin.Key {
	return origin.StreamID{Account: "ada", Attempt: fleet.RequestID(fmt.Sprintf("attempt-%d", i))}.Key()
}

// Guards against a record that is lost before its caller's time is over, and against records that
// are never dropped.
func TestRecordsLastUntilTheirStreamsEnd(t *testing.T) {
	t.Parallel()
	var table origin.Table
	const lifetime = 12 * time.Second
	now := start
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		table.Set(now, keyOf(i), origin.Record{Service: "s", Software: "v1", Until: now.Add(lifetime)})
		if oldest := i - int(lifetime/(10*time.Millisecond)) + 1; oldest >= 0 {
			r, known := table.Get(now, keyOf(oldest))
			require.True(t, known)
			require.Equal(t, fleet.SoftwareVersion("v1"), r.Software)
		}
	}
	const perLifetime = 1200
	require.LessOrEqual(t, table.Len(), 3*perLifetime)
	_, known := table.Get(now.Add(lifetime), keyOf(4999))
	require.False(t, known)
}

// Guards against a flood of streams that takes memory without bound.
func TestTableIsBounded(t *testing.T) {
	t.Parallel()
	var table origin.Table
	const records, bound = 200_000, 32 << 10
	for i := range records {
		table.Set(start, keyOf(i), origin.Record{Software: "v1", Until: start.Add(time.Minute)})
	}
	require.LessOrEqual(t, table.Len(), bound)
	_, known := table.Get(start, keyOf(records-1))
	require.True(t, known)
}

// A stream that goes on at another router is recorded again with the time that its caller has left.
func TestLaterRecordDoesNotShortenTheTime(t *testing.T) {
	t.Parallel()
	var table origin.Table
	table.Set(start, keyOf(1), origin.Record{Service: "s", Software: "v1", Until: start.Add(10 * time.Second)})
	table.Set(start, keyOf(1), origin.Record{Service: "s", Software: "v1", Until: start.Add(time.Second)})
	_, known := table.Get(start.Add(9*time.Second), keyOf(1))
	require.True(t, known)
	require.Equal(t, 1, table.Len())
	_, known = table.Get(start.Add(11*time.Second), keyOf(1))
	require.False(t, known)
}

// Guards against a caller that doesn't name its stream and gets the version of another one.
func TestStreamWithoutAnIDHasNoRecord(t *testing.T) {
	t.Parallel()
	var table origin.Table
	table.Set(start, origin.StreamID{Account: "ada"}.Key(), origin.Record{Service: "s", Software: "v1", Until: start.Add(time.Second)})
	_, known := table.Get(start, origin.StreamID{Account: "ada"}.Key())
	require.False(t, known)
}

// Guards against an account that sets the version of another account's stream by using its id.
func TestStreamsOfAccountsAreApart(t *testing.T) {
	t.Parallel()
	require.NotEqual(t, origin.StreamID{Account: "ada", Attempt: "1"}.Key(), origin.StreamID{Account: "bob", Attempt: "1"}.Key())
	require.NotEqual(t, origin.StreamID{Account: "ada", Attempt: "1"}.Key(), origin.StreamID{Account: "ad", Attempt: "a1"}.Key())
}

// Guards against a record that takes room twice because it was sent again.
func TestRecordThatIsSentAgainCountsOnce(t *testing.T) {
	t.Parallel()
	var table origin.Table
	record := origin.Record{Service: "s", Software: "v1", Until: start.Add(time.Minute)}
	for _, key := range []int{1, 2, 1} {
		table.Set(start, keyOf(key), record)
	}
	require.Equal(t, 2, table.Len())
}
