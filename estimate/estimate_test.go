package estimate_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/fleet"
)

func key(account string) estimate.Key {
	return estimate.Key{Account: fleet.AccountID(account), Service: "model"}
}

func TestOutputFollowsTheAccount(t *testing.T) {
	t.Parallel()
	var e estimate.Estimator
	require.Equal(t, int64(320), e.PredictOutput(key("long"), 0))
	for range 100 {
		e.Ended(key("long"), 2000)
		e.Ended(key("short"), 50)
	}
	require.Equal(t, int64(2000), e.PredictOutput(key("long"), 0))
	require.Equal(t, int64(50), e.PredictOutput(key("short"), 0))
	require.Equal(t, int64(500), e.PredictOutput(key("long"), 500))
	require.InDelta(t, 1025, e.PredictOutput(key("new"), 0), 100, "a new account starts from the service's mean")
}

func TestOneLongAnswerHasLittleEffect(t *testing.T) {
	t.Parallel()
	var e estimate.Estimator
	for range 100 {
		e.Ended(key("a"), 300)
	}
	e.Ended(key("a"), 4000)
	require.Less(t, e.PredictOutput(key("a"), 0), int64(500))
}

func TestCostWeighsInputAndOutput(t *testing.T) {
	t.Parallel()
	require.Equal(t, fleet.Tokens(350), estimate.Weights{}.Cost(200, 300))
	require.Equal(t, fleet.Tokens(500), estimate.Weights{Input: 1000}.Cost(200, 300))
	require.Equal(t, fleet.Tokens(1), estimate.Weights{}.Cost(-1, 0))
	require.Equal(t, int64(25), estimate.InputTokens(100))
}

func TestUnusedAccountsAreForgotten(t *testing.T) {
	t.Parallel()
	e := estimate.Estimator{Capacity: 100}
	for range 10 {
		e.Ended(key("steady"), 2000)
	}
	for i := range 1000 {
		require.Equal(t, int64(2000), e.PredictOutput(key("steady"), 0))
		e.Ended(key(fmt.Sprint(i)), 10)
	}
	require.LessOrEqual(t, e.Len(), 100)
}

func TestEstimatorIsSafeForConcurrentUse(t *testing.T) {
	t.Parallel()
	var e estimate.Estimator
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for range 100 {
				e.Ended(key(fmt.Sprint(i)), 100)
				e.PredictOutput(key(fmt.Sprint(i)), 0)
			}
		})
	}
	group.Wait()
	require.Equal(t, int64(100), e.PredictOutput(key("0"), 0))
}
