package peer_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// A message from another router makes its handler panic. The router must drop
// the message, keep running and keep the connection open.
func TestMessageThatPanicsIsDropped(t *testing.T) {
	t.Parallel()
	sender, receiver := startNode(t, nodeConfig{id: "one"}), startNode(t, nodeConfig{id: "two"})
	receiver.OnBatch(func(_ fleet.RouterID, batch *schema.Batch) {
		if batch.GetGrantedThrough() == 1 {
			panic("panic in a batch handler")
		}
	})
	receiver.Handle("fault", func(context.Context, json.RawMessage) (any, error) { panic("panic in a call handler") })
	sender.SetTargets(map[fleet.RouterID]string{"two": receiver.address})
	require.Eventually(t, func() bool { return len(sender.Routers()) == 1 }, waitTimeout, pollInterval)
	for number := range uint64(3) {
		sender.Send("two", &schema.Batch{GrantedThrough: number})
	}
	require.Error(t, sender.Call(t.Context(), "two", "fault", nil, nil))
	var answer string
	require.NoError(t, sender.Call(t.Context(), "two", "echo", "still here", &answer))
	require.Equal(t, "still here", answer)
	require.Equal(t, []uint64{0, 1, 2}, receiver.received(), "the connection stays open")
}
