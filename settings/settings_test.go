package settings_test

import (
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/settings"
)

func TestExampleIsValid(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("../examples/router.jsonc")
	require.NoError(t, err)
	s, err := settings.Parse("router.jsonc", data)
	require.NoError(t, err)
	require.Equal(t, "router-1", s.GetId())
}

// The example shows each default. Operators who omit a field rely on it.
func TestExampleShowsTheDefaults(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("../examples/router.jsonc")
	require.NoError(t, err)
	shown, err := settings.Parse("router.jsonc", data)
	require.NoError(t, err)
	empty := &schema.RouterSettings{}
	require.Equal(t, settings.StopGrace(shown), settings.StopGrace(empty))
	require.Equal(t, settings.StopNotice(shown), settings.StopNotice(empty))
	require.Equal(t, settings.PlatformTimeout(shown), settings.PlatformTimeout(empty))
	require.Equal(t, settings.MaxBodyBytes(shown), settings.MaxBodyBytes(empty))
	require.Equal(t, settings.MaxHeaderBytes(shown), settings.MaxHeaderBytes(empty))
	require.Equal(t, settings.MaxHeldBytes(shown), settings.MaxHeldBytes(empty))
	require.Equal(t, settings.MaxConnections(shown), settings.MaxConnections(empty))
	require.Equal(t, settings.BodyTimeout(shown), settings.BodyTimeout(empty))
	require.Equal(t, settings.DefaultDeadline(shown), settings.DefaultDeadline(empty))
	require.Equal(t, settings.MaxDeadline(shown), settings.MaxDeadline(empty))
	require.Equal(t, settings.MaxWaiting(shown), settings.MaxWaiting(empty))
	require.Equal(t, settings.MaxWaitingTotal(shown), settings.MaxWaitingTotal(empty))
	require.Equal(t, settings.Sharing(shown), settings.Sharing(empty))
	require.Equal(t, settings.LogLevel(shown), settings.LogLevel(empty))
}

func TestDefaultsFollowTheOtherBound(t *testing.T) {
	t.Parallel()
	s := &schema.RouterSettings{Callers: &schema.CallerSettings{MaxDeadlineMs: 5000}, Queue: &schema.QueueSettings{MaxWaiting: 9000}}
	require.Equal(t, 5*time.Second, settings.DefaultDeadline(s))
	require.Equal(t, 9000, settings.MaxWaitingTotal(s))
	require.Equal(t, slog.LevelWarn, settings.LogLevel(&schema.RouterSettings{LogLevel: "warn"}))
}

func TestContradictionsAreReportedTogether(t *testing.T) {
	t.Parallel()
	hash := strings.Repeat("0", 64)
	_, err := settings.Parse("r.jsonc", []byte(`{
  "id": "r", "data-center": "d",
  "caller-address": ":70", "peer-address": "0.0.0.0:70", "admin-address": "h:65536",
  "platform": {"url": "http://p"},
  "fleet-key": "0123456789abcdef",
  "operator-keys": [
    {"name": "a", "key-sha256": "`+hash+`"},
    {"name": "a", "key-sha256": "`+hash+`"},
  ],
  "callers": {"default-deadline-ms": 2000, "max-deadline-ms": 1000},
  "queue": {"max-waiting": 2, "max-waiting-total": 1},
  "shearing": "fair",
}`))
	var faults *document.FaultsError
	require.ErrorAs(t, err, &faults)
	require.Equal(t, strings.TrimSpace(`
r.jsonc:3:28: peer-address: contradiction: found "0.0.0.0:70"; allowed: an address other than that of caller-address
r.jsonc:3:28: peer-address: not-allowed: found "0.0.0.0:70"; allowed: a host that other routers reach, not all interfaces
r.jsonc:3:58: admin-address: out-of-bounds: found port 65536; allowed: a port from 0 to 65535
r.jsonc:8:6: operator-keys[1].name: contradiction: found "a"; allowed: a name other than that of operator-keys[0]
r.jsonc:8:19: operator-keys[1].key-sha256: contradiction: found the same key; allowed: a key other than that of operator-keys[0]
r.jsonc:10:15: callers.default-deadline-ms: contradiction: found 2000; allowed: at most callers.max-deadline-ms, which is 1000
r.jsonc:11:13: queue.max-waiting: contradiction: found 2; allowed: at most queue.max-waiting-total, which is 1
r.jsonc:12:3: shearing: unknown-field: found "shearing"; allowed: did you mean "sharing"?
`), err.Error())
}
