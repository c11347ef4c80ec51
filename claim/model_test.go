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

// The same 500 runs of about 120 steps come each time; -rapid.seed,
// -rapid.checks and -rapid.steps try others and more.
func init() {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.checks", "500")
}

const (
	deadline = time.Minute
	// keyLife is for how long callers repeat a request.
	keyLife = 30 * time.Minute
)

// skewed is a router's clock.
type skewed struct {
	timer.Service
	by time.Duration
}

func (s skewed) Now() time.Time { return s.Service.Now().Add(s.by) }

// held is a call whose router may send it, has sent it, or is done with it.
type held struct {
	router  int
	key     string
	claim   *claim.Claim
	due     time.Time
	sent    bool
	ran     bool
	notRun  bool
	settled bool
}

// fleetModel is some routers before one table, and what callers were told.
type fleetModel struct {
	clock   *timer.Fake
	table   *table
	stores  []*claim.Store
	sweeps  []*claim.Sweeper
	calls   []*held
	runs    map[string]int
	answers map[string]string
	keys    int
	born    time.Time
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		clock: timer.NewFake(time.Unix(1e9, 0)), runs: map[string]int{}, answers: map[string]string{},
	}
	m.born = m.clock.Now()
	writes := rapid.SampledFrom([]effect{none, none, none, none, down, replyLost, requestLost, late})
	reads := rapid.SampledFrom([]effect{none, none, none, down, stale})
	m.table = &table{next: func(write bool) effect {
		if write {
			return writes.Draw(t, "write")
		}
		return reads.Draw(t, "read")
	}}
	for i := range 3 {
		m.stores = append(m.stores, nil)
		m.sweeps = append(m.sweeps, nil)
		m.boot(i)
	}
	return m
}

func (m *fleetModel) boot(i int) {
	m.stores[i] = &claim.Store{
		Table: m.table, Router: fleet.RouterID(strconv.Itoa(i)),
		Timer: skewed{m.clock, time.Duration(i-1) * time.Second},
	}
	m.sweeps[i] = &claim.Sweeper{Store: m.stores[i]}
}

// request draws a key that is young enough to be repeated.
func (m *fleetModel) request(t *rapid.T) (string, claim.Request) {
	if m.clock.Now().Sub(m.born) > keyLife {
		m.keys++
		m.born = m.clock.Now()
	}
	key := fmt.Sprintf("%d-%d", m.keys, rapid.IntRange(0, 1).Draw(t, "key"))
	return key, order(key, m.clock.Now().Add(deadline))
}

func order(key string, due time.Time) claim.Request {
	return claim.Request{
		Account: "halonen", Key: key, Method: "POST", Path: "/orders", Body: []byte(key), Deadline: due,
	}
}

func (m *fleetModel) call(t *rapid.T) {
	key, request := m.request(t)
	router := rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")
	got, answer, err := m.stores[router].Claim(context.Background(), request)
	var refused *refusal.Error
	switch {
	case got != nil:
		m.calls = append(m.calls, &held{router: router, key: key, claim: got, due: request.Deadline})
	case answer != nil:
		require.Equal(t, m.answers[key], string(answer.Body), "replayed another answer")
	default:
		require.ErrorAs(t, err, &refused)
		require.NotEqual(t, refusal.KeyReused, refused.Reason)
	}
}

// pick draws one of the calls that match.
func (m *fleetModel) pick(t *rapid.T, match func(*held) bool) *held {
	var some []*held
	for _, h := range m.calls {
		if match(h) {
			some = append(some, h)
		}
	}
	if len(some) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(some).Draw(t, "call")
}

// send is what a router does after any pause, also one that has since
// released the claim.
func (m *fleetModel) send(t *rapid.T) {
	h := m.pick(t, func(h *held) bool { return !h.sent })
	if !h.claim.Ready() {
		h.notRun = true
		h.claim.Release(context.Background())
		return
	}
	require.False(t, h.notRun, "sent after not-run was said")
	require.LessOrEqual(t, m.clock.Now(), h.due.Add(time.Second), "sent after the deadline")
	h.sent = true
	if h.ran = rapid.Bool().Draw(t, "runs"); h.ran {
		m.runs[h.key]++
	}
}

func (m *fleetModel) refusedUnrun(t *rapid.T) {
	h := m.pick(t, func(h *held) bool { return !h.ran && !h.settled })
	h.settled, h.notRun = true, true
	h.claim.Release(context.Background())
}

func (m *fleetModel) answered(t *rapid.T) {
	h := m.pick(t, func(h *held) bool { return h.ran && !h.settled })
	h.settled = true
	body := "answer " + h.key
	m.answers[h.key] = body
	h.claim.Finish(context.Background(), claim.Answer{Status: 200, Body: []byte(body)})
}

func (m *fleetModel) broken(t *rapid.T) {
	h := m.pick(t, func(h *held) bool { return h.sent && !h.settled })
	h.settled = true
	h.claim.Lose(context.Background())
}

func (m *fleetModel) die(t *rapid.T) {
	router := rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")
	m.calls = slices.DeleteFunc(m.calls, func(h *held) bool { return h.router == router })
	m.boot(router)
}

func (m *fleetModel) land(t *rapid.T) {
	if len(m.table.pending) == 0 {
		t.Skip("none")
	}
	m.table.land(rapid.IntRange(0, len(m.table.pending)-1).Draw(t, "txn"))
}

func (m *fleetModel) settle(t *rapid.T) {
	m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")].Settle(context.Background())
}

func (m *fleetModel) sweep(t *rapid.T) {
	_, _ = m.sweeps[rapid.IntRange(0, len(m.stores)-1).Draw(t, "router")].Sweep(context.Background())
}

func (m *fleetModel) pass(t *rapid.T) {
	m.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 10 * time.Minute, 2 * time.Hour}).Draw(t, "time"))
}

// Three routers claim, pause, die, wake, sweep and settle before a table that
// is down, loses replies, applies writes late and reads stale, while callers
// repeat their requests through any of them. A caller whose order ran twice
// gets two crews; one who was told not-run and was run all the same, too.
func TestAtMostOneRunUnderEveryFault(t *testing.T) {
	t.Parallel()
	steps, ran := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"call": m.call, "call again": m.call, "send": m.send, "refused unrun": m.refusedUnrun,
			"answered": m.answered, "broken": m.broken, "router dies": m.die, "late write": m.land,
			"settle": m.settle, "sweep": m.sweep, "time": m.pass,
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
	require.GreaterOrEqual(t, ran, 100, "too few runs to mean anything")
	t.Logf("%d steps, %d requests ran", steps, ran)
}
