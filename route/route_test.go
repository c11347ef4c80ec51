package route_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/route"
)

func table() *route.Table {
	return route.NewTable(route.Configuration{
		Version: 7,
		Routes: []route.Route{
			{Name: "orders", Host: "a.example", Prefix: "/orders/", Kind: route.NonIdempotent, Shares: []route.Share{{Service: "plain", Weight: 1}}},
			{Name: "urgent", Host: "a.example", Prefix: "/orders/urgent/", Kind: route.Safe, Shares: []route.Share{{Service: "plain", Weight: 1}}},
			{Name: "reports", Host: "A.example", Prefix: "/r/", Kind: route.Streaming, LatencyTarget: time.Second, Shares: []route.Share{{Service: "model", Weight: 90}, {Service: "next", Weight: 10}}},
			{Name: "notes", Host: "a.example", Prefix: "/n/", Kind: route.Streaming, LatencyTarget: 400 * time.Millisecond, Shares: []route.Share{{Service: "model", Weight: 1}}},
		},
		Accounts: []route.Account{{ID: "ada", Keys: []string{"k1", "k2"}}},
	})
}

func TestFindTakesTheLongestPrefix(t *testing.T) {
	t.Parallel()
	cases := []struct{ host, path, want string }{
		{"a.example", "/orders/1", "orders"},
		{"a.example:8080", "/orders/", "orders"},
		{"A.Example", "/orders/urgent/1", "urgent"},
		{"a.example", "/orders/urgent", "orders"},
		{"a.example", "/orders", ""},
		{"b.example", "/orders/1", ""},
		{"a.example", "/%6frders/1", ""},
		{"a.example", "", ""},
	}
	for _, c := range cases {
		found, ok := table().Find(c.host, c.path)
		require.Equal(t, c.want != "", ok, c.path)
		if ok {
			require.Equal(t, c.want, found.Name, c.path)
		}
	}
}

func TestServiceOfFollowsTheWeights(t *testing.T) {
	t.Parallel()
	found, ok := table().Find("a.example", "/r/1")
	require.True(t, ok)
	counts := make(map[fleet.ServiceID]int)
	for i := range 10_000 {
		counts[found.ServiceOf(fleet.RequestID(strconv.Itoa(i)))]++
	}
	require.InDelta(t, 9_000, counts["model"], 150)
	require.Equal(t, 10_000, counts["model"]+counts["next"])
	require.Empty(t, (&route.Route{}).ServiceOf("1"))
}

func TestNilTableKnowsNothing(t *testing.T) {
	t.Parallel()
	var none *route.Table
	_, ok := none.Find("a.example", "/orders/1")
	require.False(t, ok)
	require.Zero(t, none.Version())
	require.False(t, none.RequiresKey())
}

func TestAccountsAndTargets(t *testing.T) {
	t.Parallel()
	account, ok := table().AccountOf("k2")
	require.True(t, ok)
	require.Equal(t, fleet.AccountID("ada"), account)
	_, ok = table().AccountOf("k3")
	require.False(t, ok)
	require.Equal(t, 400*time.Millisecond, table().FirstEventTarget("model"))
}
