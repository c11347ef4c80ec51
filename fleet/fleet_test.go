package fleet_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
)

// Guards against callers that fill the log, and the memory of its queue, with long ids.
func TestLongIDsAreCutOffInTheLog(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	log.Info("line", "request", fleet.RequestID("9c41d07be2a35f68"), "other", fleet.RequestID(strings.Repeat("x", 16<<10)))
	require.Contains(t, out.String(), `"request":"9c41d07be2a35f68"`)
	require.Less(t, out.Len(), 300)
}
