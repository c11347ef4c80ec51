package deployment_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

func newState() *deployment.State {
	return deployment.NewState(deployment.StateOptions{Log: slog.New(slog.DiscardHandler)})
}

func testConfiguration(version fleet.Version) route.Configuration {
	return route.Configuration{
		Version: version,
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/a/", Kind: route.Streaming, Timeout: 12 * time.Second, LatencyTarget: 800 * time.Millisecond,
			MaxPause: 300 * time.Millisecond, MaxAttempts: 2, Resumable: true, PromptCaching: true, Shares: []route.Share{{Service: "s", Weight: 90}},
			Regions: route.Regions{"north", "south"},
		}},
		Services: []route.Service{{ID: "s", MaxConnections: 360, Slots: 64, CacheTokens: 664_478, TokenBytes: 18_432, LinkMbps: 180_000}},
		Accounts: []route.Account{{ID: "ada", Keys: []string{"k1", "k2"}, Regions: route.Regions{"north"}}},
		Limits:   route.Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 22, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Versions arrive from the store's changes, from complete reads and from other routers, in any
// order and more than once. A withdrawn key must not become valid again, so the version in
// force must only increase.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		highest := fleet.Version(0)
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 20), 1, 30).Draw(t, "versions") {
			version := fleet.Version(n)
			require.Equal(t, version > highest, s.Configure(testConfiguration(version), "test"))
			highest = max(highest, version)
			require.Equal(t, highest, s.Table().Version())
		}
	})
}

// A router that the store refuses gets the configuration from another router. Guards against
// fields that the encoding leaves out, such as a route or a key that nobody withdrew.
func TestConfigurationAndUpstreamEncodingRoundTrip(t *testing.T) {
	t.Parallel()
	c := testConfiguration(7)
	require.Equal(t, c, deployment.DecodeConfiguration(deployment.EncodeConfiguration(c)))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	change := registry.Change{
		Upstream: registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", DataCenter: "z", Slots: 8, StartTime: 1782775556021, Draining: true, ColdUntil: now.Add(3 * time.Second)},
		Revision: 40, Removed: true,
	}
	require.Equal(t, change, registry.Decode(now, registry.Encode(now, change)))
}

// Guards against engines whose memory isn't known, or stays as it was when the configuration
// changes.
func TestMemoryOfEnginesIsConfigured(t *testing.T) {
	t.Parallel()
	s := newState()
	s.Configure(testConfiguration(1), "test")
	s.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: []*schema.UpstreamChange{{Id: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, Revision: 3}}}, "test")
	pool, now := s.Pool("s"), time.Now()
	pool.SetGrouped(now, true)
	first, err := pool.Submit(now, turn.Request{Input: 600_000})
	require.NoError(t, err)
	first.RecordFirstEvent(now)
	second, err := pool.Submit(now, turn.Request{Input: 100_000, Patience: time.Minute})
	require.NoError(t, err)
	require.Equal(t, turn.LackMemory, second.Cancel(now).Lack)
	larger := testConfiguration(2)
	larger.Services[0].CacheTokens *= 2
	s.Configure(larger, "test")
	third, err := pool.Submit(now, turn.Request{Input: 100_000, Patience: time.Minute})
	require.NoError(t, err)
	require.Nil(t, third.Cancel(now), "it was granted")
}

// Guards against a loss of an engine's cache that the operator can't see, or sees once per request.
func TestLossOfACacheIsLoggedOnce(t *testing.T) {
	t.Parallel()
	var log bytes.Buffer
	losses := 0
	s := deployment.NewState(deployment.StateOptions{
		Log: slog.New(slog.NewTextHandler(&log, nil)), CacheEvents: deployment.CacheEvents{OnLoss: func() { losses++ }},
	})
	s.Configure(testConfiguration(1), "test")
	s.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: []*schema.UpstreamChange{{Id: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, Revision: 3}}}, "test")
	pool, now := s.Pool("s"), time.Now()
	pool.SetGrouped(now, true)
	for range 6 {
		ticket, err := pool.Submit(now, turn.Request{Input: 10_000, Prefixes: []turn.Prefix{{Hash: 1, Tokens: 10_000}}})
		require.NoError(t, err)
		now = now.Add(time.Second)
		ticket.RecordFirstEvent(now)
		ticket.End(now, turn.Served)
	}
	require.Equal(t, 1, losses)
	require.Equal(t, 1, strings.Count(log.String(), "engine lost its prompt cache"))
}

// After a start, a service's upstreams may be known before its configuration. Guards against
// upstreams that then aren't used once the configuration arrives.
func TestUpstreamsAndConfigurationComeInAnyOrder(t *testing.T) {
	t.Parallel()
	s := newState()
	list := []*schema.UpstreamChange{{Id: "u", Service: "s", Address: "10.0.0.1:80", Slots: 8, Revision: 3}}
	s.ApplyUpstreamsFromPeer(&schema.Knowledge{Upstreams: list}, "test")
	require.False(t, s.Ready())
	require.Nil(t, s.Pool("s"))
	s.Configure(testConfiguration(1), "test")
	require.True(t, s.Ready())
	require.NotNil(t, s.Pool("s"))
	require.True(t, s.HasAddress("10.0.0.1:80"))
}
