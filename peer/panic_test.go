package peer_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Guards against a router that ends because of what one message of another one makes it do.
func TestMessageThatPanicsIsDropped(t *testing.T) {
	t.Parallel()
	one, two := start(t, setup{id: "one"}), start(t, setup{id: "two"})
	two.OnBatch(func(_ fleet.RouterID, batch *schema.Batch) {
		if batch.GetGrantedThrough() == 1 {
			panic("a fault of the router")
		}
	})
	two.Handle("fault", func(context.Context, json.RawMessage) (any, error) { panic("another one") })
	one.Target(map[fleet.RouterID]string{"two": two.address})
	require.Eventually(t, func() bool { return len(one.Routers()) == 1 }, patience, often)
	for number := range uint64(3) {
		one.Send("two", &schema.Batch{GrantedThrough: number})
	}
	require.Error(t, one.Call(t.Context(), "two", "fault", nil, nil))
	var answer string
	require.NoError(t, one.Call(t.Context(), "two", "echo", "still here", &answer))
	require.Equal(t, "still here", answer)
	require.Equal(t, []uint64{0, 1, 2}, two.received(), "the connection lives on")
}
