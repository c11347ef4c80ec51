package keeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/keeper"
	"nutmeglock.example/nutmeglock/share"
)

type report = share.Report[keeper.Key]

var (
	key   = keeper.Key{Service: 1, Account: 2}
	start = time.Unix(1_000_000, 0)
)

func TestTotalSumsTheDispatchers(t *testing.T) {
	t.Parallel()
	k := keeper.New(keeper.Options{})
	k.Report(start, "a", 1, report{Key: key, Cumulative: 100})
	total := k.Report(start, "b", 1, report{Key: key, Cumulative: 50})
	require.Equal(t, share.Total{Sum: 150, OwnReported: 50}, total)
	// A final cost below the estimate lowers the sum.
	total = k.Report(start, "a", 1, report{Key: key, Cumulative: 80})
	require.Equal(t, share.Total{Sum: 130, OwnReported: 80}, total)
}

// A dispatcher is killed and restarts without state, so that it counts from zero.
// If its new amount replaced the old one, the account's total would fall and the
// other dispatchers would give the account the same service a second time.
func TestRestartedDispatcherDoesNotLowerTheTotal(t *testing.T) {
	t.Parallel()
	k := keeper.New(keeper.Options{})
	k.Report(start, "a", 1, report{Key: key, Cumulative: 100})
	k.Report(start, "b", 1, report{Key: key, Cumulative: 40})
	total := k.Report(start, "a", 2, report{Key: key, Cumulative: 5})
	require.Equal(t, share.Total{Sum: 145, OwnReported: 5}, total)
	// A late report of the first incarnation changes nothing.
	total = k.Report(start, "a", 1, report{Key: key, Cumulative: 300})
	require.Equal(t, share.Total{Sum: 145}, total)
}

// A keeper is killed. The new one knows no account. Without the floor it would
// return a total of almost zero, and an account that was served for hours would
// be served before all others until it had received as much again.
func TestNewKeeperContinuesFromTheFloor(t *testing.T) {
	t.Parallel()
	k := keeper.New(keeper.Options{})
	// A dispatcher counts from zero again when the account gets another keeper.
	total := k.Report(start, "a", 1, report{Key: key, Floor: 5000})
	require.Equal(t, fleet.Tokens(5000), total.Sum)
	// The floors of two dispatchers include the same service and aren't added up.
	total = k.Report(start, "b", 1, report{Key: key, Cumulative: 10, Floor: 5020})
	require.Equal(t, fleet.Tokens(5020), total.Sum)
	total = k.Report(start, "a", 1, report{Key: key, Cumulative: 30})
	require.Equal(t, fleet.Tokens(5050), total.Sum)
}

func TestFloorLiftsAnAccountThatReturnsFromIdle(t *testing.T) {
	t.Parallel()
	k := keeper.New(keeper.Options{})
	k.Report(start, "a", 1, report{Key: key, Cumulative: 10})
	total := k.Report(start, "b", 1, report{Key: key, Cumulative: 20, Floor: 700})
	require.Equal(t, fleet.Tokens(700), total.Sum)
	// A floor that arrives again or late does not raise the total.
	k.Report(start, "a", 1, report{Key: key, Cumulative: 60})
	total = k.Report(start, "b", 1, report{Key: key, Cumulative: 20, Floor: 700})
	require.Equal(t, fleet.Tokens(750), total.Sum)
}

func TestForgetsIdleAccountsAndStaysWithinItsBound(t *testing.T) {
	t.Parallel()
	k := keeper.New(keeper.Options{IdleTimeout: time.Minute, MaxAccounts: 3})
	for i := range 10 {
		at := start.Add(time.Duration(i) * time.Second)
		k.Report(at, "a", 1, report{Key: keeper.Key{Service: 1, Account: fleet.ShortID(i)}, Cumulative: 1})
	}
	require.Equal(t, 3, k.Len())
	k.Tick(start.Add(2 * time.Minute))
	require.Zero(t, k.Len())
}

// Around a reconnection, messages between routers are lost, repeated or late. In
// every case the next report of each dispatcher makes the total exact. If no
// dispatcher lowers its amount, the total never falls in between.
func TestLostAndRepeatedReportsDoNoHarm(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		k := keeper.New(keeper.Options{})
		routers := []fleet.RouterID{"a", "b", "c"}
		charged := make(map[fleet.RouterID]fleet.Tokens)
		var highest fleet.Tokens
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			router := rapid.SampledFrom(routers).Draw(t, "router")
			charged[router] += fleet.Tokens(rapid.IntRange(0, 50).Draw(t, "cost"))
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				total := k.Report(start, router, 1, report{Key: key, Cumulative: charged[router]})
				require.GreaterOrEqual(t, total.Sum, highest)
				highest = total.Sum
			}
		}
		var want, got fleet.Tokens
		for _, router := range routers {
			want += charged[router]
			got = k.Report(start, router, 1, report{Key: key, Cumulative: charged[router]}).Sum
		}
		require.Equal(t, want, got)
	})
}
