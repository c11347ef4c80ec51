package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/stream"
)

// Guards against a stream of comments, or of events that the caller has, that never ends and counts as alive.
func TestStreamWithoutProgress(t *testing.T) {
	t.Parallel()
	var p stream.Progress
	event := stream.Event{Raw: make([]byte, 1024)}
	for range stream.MaxWithoutProgress / 1024 {
		require.NoError(t, p.Record(event, false))
	}
	require.NoError(t, p.Record(event, true))
	for range stream.MaxWithoutProgress / 1024 {
		require.NoError(t, p.Record(event, false))
	}
	var stuck *stream.NoProgressError
	require.ErrorAs(t, p.Record(event, false), &stuck)
	require.Equal(t, stream.MaxWithoutProgress+1024, stuck.Bytes)
}
