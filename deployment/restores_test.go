package deployment_test

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
)

// Guards against a configuration that goes back when the store is restored from a copy, and against one that the operator writes
// again under the same version and that no router takes.
func TestConfigurationOfARestoredStore(t *testing.T) {
	t.Parallel()
	s := deployment.NewState(deployment.StateOptions{Log: slog.New(slog.DiscardHandler)})
	first := route.Configuration{Version: 5, Revision: registry.NewRevision(1, 40)}
	lost := route.Configuration{Version: 7, Revision: registry.NewRevision(1, 60), Accounts: []route.Account{{ID: "a"}}}
	require.True(t, s.Configure(lost, "store"))

	copied := first
	copied.Revision = registry.NewRevision(2, 40)
	require.False(t, s.Configure(copied, "store"), "the copy has an older version")
	same := lost
	same.Revision = registry.NewRevision(2, 45)
	require.False(t, s.Configure(same, "store"), "the same content again changes nothing")
	other := route.Configuration{Version: 7, Revision: registry.NewRevision(3, 46), Accounts: []route.Account{{ID: "b"}}}
	require.True(t, s.Configure(other, "store"))
	require.False(t, s.Configure(lost, "router r1"), "another router tells the one from before")
	require.False(t, s.Configure(same, "router r1"))
}
