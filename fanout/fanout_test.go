package fanout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fanout"
)

func TestDispatchers(t *testing.T) {
	t.Parallel()
	require.Equal(t, 1, fanout.Dispatchers(1, 0))
	require.Equal(t, 1, fanout.Dispatchers(100, 9*time.Millisecond))
	require.Equal(t, 2, fanout.Dispatchers(1, 10*time.Millisecond))
	require.Equal(t, fanout.MaxDispatchers, fanout.Dispatchers(8, 10*time.Millisecond))
	require.Equal(t, fanout.MaxDispatchers, fanout.Dispatchers(1, 20*time.Millisecond))
}
