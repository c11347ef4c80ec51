package claim_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/timer"
)

// The tests make the same 500 runs of about 190 steps each time; -rapid.seed,
// -rapid.checks and -rapid.steps change that.
func init() {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.checks", "500")
}

const (
	deadline = time.Minute
	// keyLifetime is how long callers repeat a request.
	keyLifetime = 30 * time.Minute
)

// skewedClock is a router's clock, which differs from the others by offset.
type skewedClock struct {
	timer.Service
	offset time.Duration
}

func (s skewedClock) Now() time.Time { return s.Service.Now().Add(s.offset) }

// claimedCall is a call that a router has claimed: to be sent, sent or ended.
type claimedCall struct {
	router   int
	key      string
	claim    *claim.Claim
	deadline time.Time
	sent     bool
	ran      bool
	notRun   bool
	ended    bool
}

// fleetModel simulates routers that share one table, and records the runs and the
// outcomes that callers got.
type fleetModel struct {
	clock         *timer.Fake
	table         *faultyTable
	stores        []*claim.Store
	sweepers      []*claim.Sweeper
	calls         []*claimedCall
	runs          map[string]int
	answers       map[string]string
	keyGeneration int
	keysSince     time.Time
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		clock: timer.NewFake(time.Unix(1e9, 0)), runs: map[string]int{}, answers: map[string]string{},
	}
	m.keysSince = m.clock.Now()
	writes := rapid.SampledFrom([]faultKind{noFault, noFault, noFault, noFault, down, replyLost, requestLost, late})
	reads := rapid.SampledFrom([]faultKind{noFault, noFault, noFault, down, stale})
	m.table = &faultyTable{nextFault: func(write bool) faultKind {
		if write {
			return writes.Draw(t, "write")
		}
		return reads.Draw(t, "read")
	}}
	for i := range 3 {
		m.stores = append(m.stores, nil)
		m.sweepers = append(m.sweepers, nil)
		m.startRouter(i)
	}
	return m
}

func (m *fleetModel) startRouter(i int) {
	m.stores[i] = &claim.Store{
		Table: m.table, Router: fleet.RouterID(strconv.Itoa(i)),
		Timer: skewedClock{m.clock, time.Duration(i-1) * time.Second},
	}
	m.sweepers[i] = &claim.Sweeper{Store: m.stores[i]}
}

// request draws a key that is not older than keyLifetime, and its request.
func (m *fleetModel) request(t *rapid.T) (string, claim.Request) {
	if m.clock.Now().Sub(m.keysSince) > keyLifetime {
		m.keyGeneration++
		m.keysSince = m.clock.Now()
	}
	key := fmt.Sprintf("%d-%d", m.keyGeneration, rapid.IntRange(0, 1).Draw(t, "key"))
	return key, orderRequest(key, m.clock.Now().Add(deadline))
}

func orderRequest(key string, deadline time.Time) claim.Request {
	return claim.Request{
		Account: "halonen", Key: key, Method: "POST", Path: "/orders", Body: []byte(key), Deadline: deadline,
	}
}

func (m *fleetModel) call(t *rapid.T) {
	key, request := m.request(t)
	router := rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")
	got, answer, err := m.stores[router].Claim(context.Background(), request)
	var refused *refusal.Error
	switch {
	case got != nil:
		m.calls = append(m.calls, &claimedCall{router: router, key: key, claim: got, deadline: request.Deadline})
	case answer != nil:
		require.Equal(t, m.answers[key], string(answer.Body), "replayed a different answer")
	default:
		require.ErrorAs(t, err, &refused)
		require.NotEqual(t, refusal.KeyReused, refused.Reason)
	}
}

// drawCall draws one of the calls that match, or skips the step.
func (m *fleetModel) drawCall(t *rapid.T, match func(*claimedCall) bool) *claimedCall {
	var matching []*claimedCall
	for _, call := range m.calls {
		if match(call) {
			matching = append(matching, call)
		}
	}
	if len(matching) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(matching).Draw(t, "call")
}

// send sends a claimed request, after any pause and also if the claim was
// released meanwhile.
func (m *fleetModel) send(t *rapid.T) {
	call := m.drawCall(t, func(call *claimedCall) bool { return !call.sent })
	if !call.claim.Valid() {
		call.notRun = true
		call.claim.Release(context.Background())
		return
	}
	require.False(t, call.notRun, "sent after it was reported as not-run")
	require.LessOrEqual(t, m.clock.Now(), call.deadline.Add(time.Second), "sent after the deadline")
	call.sent = true
	if call.ran = rapid.Bool().Draw(t, "runs"); call.ran {
		m.runs[call.key]++
	}
}

func (m *fleetModel) refusedNotRun(t *rapid.T) {
	call := m.drawCall(t, func(call *claimedCall) bool { return !call.ran && !call.ended })
	call.ended, call.notRun = true, true
	call.claim.Release(context.Background())
}

func (m *fleetModel) answered(t *rapid.T) {
	call := m.drawCall(t, func(call *claimedCall) bool { return call.ran && !call.ended })
	call.ended = true
	body := "answer " + call.key
	m.answers[call.key] = body
	call.claim.Finish(context.Background(), claim.Answer{Status: 200, Body: []byte(body)})
}

func (m *fleetModel) answerLost(t *rapid.T) {
	call := m.drawCall(t, func(call *claimedCall) bool { return call.sent && !call.ended })
	call.ended = true
	call.claim.MarkLost(context.Background())
}

func (m *fleetModel) killRouter(t *rapid.T) {
	router := rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")
	m.calls = slices.DeleteFunc(m.calls, func(call *claimedCall) bool { return call.router == router })
	m.startRouter(router)
}

func (m *fleetModel) applyLateWrite(t *rapid.T) {
	if len(m.table.pending) == 0 {
		t.Skip("none")
	}
	m.table.applyPending(rapid.IntRange(0, len(m.table.pending)-1).Draw(t, "txn"))
}

func (m *fleetModel) retryWrites(t *rapid.T) {
	m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")].RetryWrites(context.Background())
}

func (m *fleetModel) sweep(t *rapid.T) {
	_, _ = m.sweepers[rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")].Sweep(context.Background())
}

func (m *fleetModel) advanceClock(t *rapid.T) {
	m.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 10 * time.Minute, 2 * time.Hour}).Draw(t, "time"))
}

// Guards against a request that runs twice, or that runs although its caller got
// not-run and repeats it. Three routers claim, pause, crash, restart, sweep and
// retry writes on a table that is down, loses replies, applies writes late and
// reads stale, while callers repeat requests through any of them.
func TestAtMostOneRunUnderEveryFault(t *testing.T) {
	t.Parallel()
	steps, ran := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"call": m.call, "call again": m.call, "send": m.send, "refused, not run": m.refusedNotRun,
			"answered": m.answered, "broken": m.answerLost, "router dies": m.killRouter, "late write": m.applyLateWrite,
			"settle": m.retryWrites, "sweep": m.sweep, "time": m.advanceClock,
			"": func(t *rapid.T) {
				steps++
				for key, runs := range m.runs {
					require.LessOrEqual(t, runs, 1, "request %s ran twice", key)
				}
			},
		})
		ran += len(m.runs)
	})
	require.GreaterOrEqual(t, steps, 10_000)
	require.GreaterOrEqual(t, ran, 100, "too few runs for a meaningful result")
	t.Logf("%d steps, %d requests ran", steps, ran)
}
