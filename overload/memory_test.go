package overload_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/overload"
)

func TestMemoryIsKnown(t *testing.T) {
	t.Parallel()
	require.Greater(t, overload.Memory(), uint64(1<<20))
}
