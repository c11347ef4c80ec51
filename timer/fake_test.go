package timer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/timer"
)

func TestFakeCallsSubscribersInOrderOfTime(t *testing.T) {
	t.Parallel()
	var calls []string
	fake := timer.NewFake(time.Unix(0, 0))
	fake.Every(3*time.Second, func(time.Time) { calls = append(calls, "every") })
	fake.After(4*time.Second, func(time.Time) { calls = append(calls, "after") })
	cancelled := fake.After(time.Second, func(time.Time) { calls = append(calls, "cancelled") })
	cancelled.Cancel()

	fake.Advance(6 * time.Second)

	require.Equal(t, []string{"every", "after", "every"}, calls)
	require.Equal(t, time.Unix(6, 0), fake.Now())
}
