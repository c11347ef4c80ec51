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

// A caller sends a work order, gets no answer or a failure, and repeats it
// through random routers, sometimes through two at once. Meanwhile the
// platform's table is down, loses the replies to writes that took effect, or
// applies writes late, and the application's connections break before or after a
// run. A second run would send a second team to the manhole; a wrong "not-run"
// would send a team that nobody expects.
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
	maxRounds      = 6
	// repeatApplications is large enough that the test is not delayed when a
	// failed application gets no requests for a while.
	repeatApplications = 8
)

func repeatOrders(ctx context.Context, t *testing.T, random *rand.Rand) {
	t.Helper()
	fleet := start(ctx, t, local.Options{Routers: 3, Applications: repeatApplications})
	answersByOrder := make([][]callerAnswer, repeatedOrders)
	for n := range answersByOrder {
		fleet.Platform.Faults.Set(platformFaults(random)...)
		for n := range repeatApplications {
			fleet.Application(n).Faults.Set(applicationFaults(random)...)
		}
		answersByOrder[n] = repeatOrder(ctx, t, random, fleet, n)
	}
	fleet.Platform.Faults.Set()
	counts, runs := map[string]int{}, map[string]int{}
	for n := range repeatApplications {
		require.Eventually(t, func() bool {
			return fleet.Platform.PendingWrites() == 0 && fleet.Application(n).InFlight() == 0
		}, 20*time.Second, time.Millisecond)
		for key, count := range fleet.Application(n).Runs() {
			runs[key] += count
		}
	}
	for n, answers := range answersByOrder {
		checkAnswers(t, answers, runs[orderKey(n)])
		for _, answer := range answers {
			counts[answer.kind()]++
		}
	}
	t.Log(counts)
	// Each kind of answer must occur, or the faults are too frequent or too rare.
	require.Positive(t, counts["answered"])
	require.Positive(t, counts[string(refusal.NotRun)])
	require.Positive(t, counts[string(refusal.Unknown)])
}

func platformFaults(random *rand.Rand) []fault.Fault {
	kinds := []fault.Kind{"", "", fault.Down, fault.RequestLost, fault.ReplyLost, fault.ReplyLost, fault.Late, fault.Late, fault.Slow}
	operations := []string{memory.OperationCommit, memory.OperationCommit, memory.OperationRead, memory.OperationPut, memory.OperationGet}
	return randomFaults(random, kinds, operations)
}

func applicationFaults(random *rand.Rand) []fault.Fault {
	kinds := []fault.Kind{"", "", fault.RequestLost, fault.ReplyLost, fault.RefuseFull, fault.RefuseFull, fault.Slow}
	return randomFaults(random, kinds, []string{application.OperationCall})
}

// randomFaults returns up to three faults, each affecting one or two operations.
func randomFaults(random *rand.Rand, kinds []fault.Kind, operations []string) []fault.Fault {
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

// callerAnswer is an answer with the outcome and reason of a refusal.
type callerAnswer struct {
	answer
	outcome refusal.Outcome
	reason  refusal.Reason
}

func (a callerAnswer) kind() string {
	if a.StatusCode == http.StatusOK {
		return "answered"
	}
	return string(a.outcome)
}

// final reports whether repeating the order can't change its outcome.
func (a callerAnswer) final() bool {
	return a.StatusCode == http.StatusOK || a.reason == refusal.OutcomeLost
}

// repeatOrder sends an order through random routers until it has a final
// answer, and then once more.
func repeatOrder(ctx context.Context, t *testing.T, random *rand.Rand, fleet *local.Fleet, n int) []callerAnswer {
	t.Helper()
	var all []callerAnswer
	for range maxRounds {
		answers := make([]answer, 1+random.IntN(2))
		failures := make([]error, len(answers))
		var group sync.WaitGroup
		for i := range answers {
			req := orderRequest(ctx, t, fleet.RouterAddresses[random.IntN(len(fleet.RouterAddresses))].Callers.String())
			req.Header.Set("Idempotency-Key", orderKey(n))
			req.Header.Set("nutmeglock-timeout-ms", strconv.Itoa(3000))
			group.Go(func() { answers[i], failures[i] = sendRequest(req) })
		}
		group.Wait()
		final := len(all) > 0 && all[len(all)-1].final()
		for i, a := range answers {
			require.NoError(t, failures[i])
			all = append(all, parseAnswer(t, a))
		}
		if final {
			break
		}
	}
	return all
}

func parseAnswer(t *testing.T, a answer) callerAnswer {
	t.Helper()
	if a.StatusCode == http.StatusOK {
		return callerAnswer{answer: a}
	}
	var body struct {
		Error struct {
			Outcome refusal.Outcome
			Reason  refusal.Reason
		}
	}
	require.NoError(t, json.Unmarshal([]byte(a.text), &body), a.text)
	return callerAnswer{answer: a, outcome: body.Error.Outcome, reason: body.Error.Reason}
}

// checkAnswers checks the answers to one order against its number of runs.
func checkAnswers(t *testing.T, answers []callerAnswer, runs int) {
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
		require.Zero(t, runs, "every answer is not-run, but the order was run")
	}
}
