package reservation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/reservation"
)

var start = time.Unix(1_800_000_000, 0)

// demand is a request of a tenth of a second's service.
var demand = reservation.Demand{Cost: 1_000, Rate: 10_000, Horizon: 400 * time.Millisecond}

// Guards against callers that are all told to return at the same moment, and against more
// promises than the account's share can keep.
func TestReservationsFollowOneAnotherWithinTheHorizon(t *testing.T) {
	t.Parallel()
	var b reservation.Book[int]
	d := demand
	d.Earliest = start.Add(150 * time.Millisecond)
	for i := range 3 {
		at, ok := b.Reserve(start, i, d)
		require.True(t, ok)
		require.Equal(t, start.Add(time.Duration(150+100*i)*time.Millisecond), at)
	}
	at, ok := b.Reserve(start, 3, d)
	require.False(t, ok)
	require.Equal(t, start.Add(450*time.Millisecond), at)
	again, ok := b.Reserve(start, 2, d)
	require.True(t, ok)
	require.Equal(t, start.Add(350*time.Millisecond), again)
	d.Rate = 0
	_, ok = b.Reserve(start, 4, d)
	require.False(t, ok, "no rate is known")
}

// Guards against a return that is taken for another kind of request.
func TestClaims(t *testing.T) {
	t.Parallel()
	at := start.Add(100 * time.Millisecond)
	for after, claim := range map[time.Duration]reservation.Claim{
		-51 * time.Millisecond: reservation.Early, -50 * time.Millisecond: reservation.Due, 500 * time.Millisecond: reservation.Due,
		501 * time.Millisecond: reservation.Late, 4501 * time.Millisecond: reservation.Unknown,
	} {
		var b reservation.Book[int]
		d := demand
		d.Earliest = at
		_, ok := b.Reserve(start, 1, d)
		require.True(t, ok)
		require.Equal(t, claim, b.Claim(at.Add(after), 1), after)
		if claim != reservation.Early {
			require.Equal(t, reservation.Unknown, b.Claim(at.Add(after), 1), "a repeated return is a new request")
		}
	}
}

// Guards against new requests that are refused for the sake of callers that never return.
func TestCallersThatNeverReturnAreNotExpected(t *testing.T) {
	t.Parallel()
	for _, returns := range []bool{false, true} {
		var b reservation.Book[int]
		now := start
		for i := range 100 {
			at, ok := b.Reserve(now, i, demand)
			require.True(t, ok)
			if now = at; returns {
				require.Equal(t, reservation.Due, b.Claim(now, i))
			}
			now = now.Add(100 * time.Millisecond)
		}
		_, ok := b.Reserve(now, 100, demand)
		require.True(t, ok)
		expected := b.Expected(now, now.Add(time.Second))
		require.Equal(t, returns, expected > 9*demand.Cost/10, expected)
		require.Equal(t, !returns, expected == 0, expected)
	}
}

// Guards against an account that gains service by returning early, often, late or at several
// routers: whatever its callers do, in any interval no more comes due than its rate allows.
func TestNoAccountGainsByHowItReturns(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var b reservation.Book[int]
		var due []time.Time
		now, promised := start, make(map[int]time.Time)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			key := rapid.IntRange(0, 12).Draw(t, "key")
			claim := b.Claim(now, key)
			if claim == reservation.Early {
				at, _ := b.TimeOf(key)
				require.Equal(t, promised[key], at, "an early return moved its reservation")
				continue
			}
			if claim == reservation.Due {
				require.WithinRange(t, now, promised[key].Add(-reservation.EarlyTolerance), promised[key].Add(reservation.Expiry))
				due = append(due, now)
			}
			delete(promised, key)
			if at, ok := b.Reserve(now, key, demand); ok {
				promised[key] = at
				require.LessOrEqual(t, at.Sub(now), demand.Horizon)
			}
		}
		for from := range due {
			for to := from; to < len(due); to++ {
				span := due[to].Sub(due[from]) + reservation.EarlyTolerance + reservation.Expiry
				require.LessOrEqual(t, to-from, int(span/(100*time.Millisecond)), "more than the rate allows")
			}
		}
	})
}
