package local_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/local"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/standin/application"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store/memory"
)

// A caller sends a work order, hears nothing or that it failed, and repeats it
// through whichever router the balancer gives it, at times through two at once.
// Meanwhile the platform's table is down, loses replies of writes that took
// effect, or lets them take effect late, and the application breaks off before
// or after a run. A second run is a second team at the manhole; a "not-run"
// that is not true is a team that nobody ordered.
func TestOrderRepeatedThroughAllRoutersRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
			defer cancel()
			repeatOrders(ctx, t, rand.New(rand.NewPCG(seed, 20261202)))
		})
	}
}

const (
	repeatedOrders = 25
	repeatTimes    = 6
	// repeatApplications are so many that one which failed, and is left alone
	// for a while, does not hold up the test.
	repeatApplications = 8
)

func repeatOrders(ctx context.Context, t *testing.T, random *rand.Rand) {
	t.Helper()
	fleet := start(ctx, t, local.Options{Routers: 3, Applications: repeatApplications})
	told := make([][]told, repeatedOrders)
	for n := range told {
		fleet.Platform.Faults.Set(platformFaults(random)...)
		for n := range repeatApplications {
			fleet.Application(n).Faults.Set(applicationFaults(random)...)
		}
		told[n] = repeatOrder(ctx, t, random, fleet, n)
	}
	fleet.Platform.Faults.Set()
	counts, runs := map[string]int{}, map[string]int{}
	for n := range repeatApplications {
		require.Eventually(t, func() bool {
			return fleet.Platform.Waiting() == 0 && fleet.Application(n).Taken() == 0
		}, 20*time.Second, time.Millisecond)
		for key, count := range fleet.Application(n).Runs() {
			runs[key] += count
		}
	}
	for n, answers := range told {
		checkTold(t, answers, runs[orderKey(n)])
		for _, answer := range answers {
			counts[answer.kind()]++
		}
	}
	t.Log(counts)
	// The faults must not be so many that nothing is tried.
	require.Positive(t, counts["answered"])
	require.Positive(t, counts[string(refusal.NotRun)])
	require.Positive(t, counts[string(refusal.Unknown)])
}

func platformFaults(random *rand.Rand) []fault.Fault {
	kinds := []fault.Kind{"", "", fault.Down, fault.RequestLost, fault.ReplyLost, fault.ReplyLost, fault.Late, fault.Late, fault.Slow}
	operations := []string{memory.OperationCommit, memory.OperationCommit, memory.OperationRead, memory.OperationPut, memory.OperationGet}
	return faults(random, kinds, operations)
}

func applicationFaults(random *rand.Rand) []fault.Fault {
	kinds := []fault.Kind{"", "", fault.RequestLost, fault.ReplyLost, fault.RefuseFull, fault.RefuseFull, fault.Slow}
	return faults(random, kinds, []string{application.OperationCall})
}

// faults returns up to three faults, each for one or two operations.
func faults(random *rand.Rand, kinds []fault.Kind, operations []string) []fault.Fault {
	var list []fault.Fault
	for range random.IntN(4) {
		kind := kinds[random.IntN(len(kinds))]
		if kind == "" {
			continue
		}
		list = append(list, fault.Fault{
			Kind: kind, Operation: operations[random.IntN(len(operations))],
			Times: 1 + random.IntN(2), DelayMs: random.IntN(40),
		})
	}
	return list
}

func orderKey(n int) string { return fmt.Sprint("order-", n) }

// told is what a caller was told of one request.
type told struct {
	answer
	outcome refusal.Outcome
	reason  refusal.Reason
}

func (a told) kind() string {
	if a.StatusCode == http.StatusOK {
		return "answered"
	}
	return string(a.outcome)
}

// final reports whether no repeat can bring the caller anything else.
func (a told) final() bool { return a.StatusCode == http.StatusOK || a.reason == refusal.OutcomeLost }

// repeatOrder sends one order through routers drawn by lot until it has a
// final answer, and once more.
func repeatOrder(ctx context.Context, t *testing.T, random *rand.Rand, fleet *local.Fleet, n int) []told {
	t.Helper()
	var all []told
	for range repeatTimes {
		answers := make([]answer, 1+random.IntN(2))
		failures := make([]error, len(answers))
		var group sync.WaitGroup
		for i := range answers {
			req := order(ctx, t, fleet.Routers[random.IntN(len(fleet.Routers))].Callers.String())
			req.Header.Set("Idempotency-Key", orderKey(n))
			req.Header.Set("nutmeglock-timeout-ms", strconv.Itoa(3000))
			group.Go(func() { answers[i], failures[i] = exchange(req) })
		}
		group.Wait()
		final := len(all) > 0 && all[len(all)-1].final()
		for i, a := range answers {
			require.NoError(t, failures[i])
			all = append(all, read(t, a))
		}
		if final {
			break
		}
	}
	return all
}

func read(t *testing.T, a answer) told {
	t.Helper()
	if a.StatusCode == http.StatusOK {
		return told{answer: a}
	}
	var body struct {
		Error struct {
			Outcome refusal.Outcome
			Reason  refusal.Reason
		}
	}
	require.NoError(t, json.Unmarshal([]byte(a.text), &body), a.text)
	return told{answer: a, outcome: body.Error.Outcome, reason: body.Error.Reason}
}

// checkTold holds what was told of one order against its runs.
func checkTold(t *testing.T, answers []told, runs int) {
	t.Helper()
	require.LessOrEqual(t, runs, 1)
	text, onlyNotRun := "", true
	for _, a := range answers {
		switch a.kind() {
		case "answered":
			onlyNotRun = false
			require.Equal(t, 1, runs)
			if text != "" {
				require.Equal(t, text, a.text)
			}
			text = a.text
		case string(refusal.Run):
			onlyNotRun = false
			require.Equal(t, 1, runs)
		case string(refusal.Unknown):
			onlyNotRun = false
		default:
			require.Equal(t, string(refusal.NotRun), a.kind())
		}
	}
	if onlyNotRun {
		require.Zero(t, runs, "each caller was told that its order was not run")
	}
}
