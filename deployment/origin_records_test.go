package deployment_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
)

// recordEvents returns how often something happened to the records of a router.
func (n *node) recordEvents(event origin.Event) int {
	return int(testutil.ToFloat64(n.metrics.OriginRecords.WithLabelValues(string(event))))
}

// Guards against records that reach no other router while no metric shows it.
func TestRecordsWithoutAHolderAreCounted(t *testing.T) {
	t.Parallel()
	nodes := []*node{newOriginNode(t, 0), newOriginNode(t, 1)}
	nodes[0].began("alone", "v1")
	require.Equal(t, 1, nodes[0].recordEvents(origin.Recorded))
	require.Equal(t, 1, nodes[0].recordEvents(origin.Unheld))
	require.Zero(t, nodes[0].recordEvents(origin.CopySent))

	nodes[0].connect(t, map[fleet.RouterID]string{"r1": nodes[1].address})
	nodes[0].began("held", "v1")
	require.Eventually(t, func() bool {
		sent := nodes[0].recordEvents(origin.CopySent) + nodes[0].recordEvents(origin.CopyMoved)
		return nodes[1].mesh.Origins().RecordCount() == 2 && nodes[1].recordEvents(origin.CopyReceived) == sent
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, 2, nodes[0].recordEvents(origin.Recorded))
	require.Equal(t, 1, nodes[0].recordEvents(origin.Unheld))
	require.Equal(t, 1, nodes[0].recordEvents(origin.CopySent))
	require.Positive(t, nodes[0].recordEvents(origin.CopyMoved))
}
