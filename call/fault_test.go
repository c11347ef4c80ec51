package call_test

import (
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/standin/application"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

// The tests draw the same faults in each run; -rapid.seed changes them.
func init() { _ = flag.Set("rapid.seed", "3") }

// Guards against an order that runs twice, or that runs although its caller got
// not-run. A caller repeats one order through random routers, while the
// table and the service fail in every way that their test doubles support. The
// service counts its runs.
func TestOrderRunsOnceUnderFaults(t *testing.T) {
	t.Parallel()
	answers := 0
	rapid.Check(t, func(t *rapid.T) {
		table, service := memory.New(timer.System{}), application.New(application.Options{})
		server := httptest.NewServer(service)
		defer server.Close()
		var runners []*call.Runner
		for range 3 {
			runner := newRunner(newSource(server.URL))
			runner.Claims = &claim.Store{Table: table, Objects: table}
			defer runner.Client.Close()
			runners = append(runners, runner)
		}
		tableFault := rapid.SampledFrom([]fault.Kind{"", fault.Down, fault.ReplyLost, fault.RequestLost, fault.Late, fault.Stale})
		serviceFault := rapid.SampledFrom([]fault.Kind{"", fault.RequestLost, fault.ReplyLost, fault.RefuseFull, fault.RefuseDraining})
		first := ""
		for range rapid.IntRange(1, 8).Draw(t, "tries") {
			table.Faults.Set(fault.Fault{
				Kind: tableFault.Draw(t, "table"), Times: rapid.IntRange(1, 4).Draw(t, "times"), DelayMs: 1, CommitsBehind: 1,
			})
			service.Faults.Set(fault.Fault{Kind: serviceFault.Draw(t, "service"), Times: 1})
			before := service.Runs()["k"]
			runner := rapid.SampledFrom(runners).Draw(t, "router")
			answer, outcome := sendOrder(t, runner)
			after := service.Runs()["k"]
			require.LessOrEqual(t, after, 1)
			if outcome == refusal.NotRun {
				require.Equal(t, before, after, "ran, but was reported as not-run")
			}
			if answer != "" {
				answers++
				require.Equal(t, 1, after)
				require.True(t, first == "" || first == answer, "the answer differs from the first")
				first = answer
			}
			if rapid.Bool().Draw(t, "retry writes") {
				runner.Claims.RetryWrites(context.Background())
			}
		}
	})
	require.GreaterOrEqual(t, answers, 50, "too few answers for a meaningful result")
	t.Logf("%d answers", answers)
}

// sendOrder sends the order and returns the answer, or the outcome in its refusal.
func sendOrder(t *rapid.T, runner *call.Runner) (answer string, outcome refusal.Outcome) {
	request := keyedRequest()
	request.Header = http.Header{"Idempotency-Key": {"k"}}
	request.Deadline = time.Now().Add(time.Minute)
	w := httptest.NewRecorder()
	err := runner.Run(context.Background(), w, request)
	if err == nil {
		return w.Body.String(), ""
	}
	var refused *refusal.Error
	require.ErrorAs(t, err, &refused)
	return "", refused.Outcome
}
