package turn_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

const (
	// statedLeavingBound is how long after a router has heard that an upstream is leaving its requests may arrive there.
	statedLeavingBound = 2 * time.Second
	// statedBackoffSlack and statedBackoffArrivals bound the arrivals during a backoff in the same way.
	statedBackoffSlack    = 500 * time.Millisecond
	statedBackoffArrivals = 2
	// slowestDial is the longest time from a turn to the moment at which the request is sent.
	slowestDial = 400 * time.Millisecond
	// backInUse is how long after an upstream wants requests again the service has to be served.
	backInUse = time.Second
)

// avoidEvent is something that happens at a time.
type avoidEvent struct {
	at   time.Time
	play func()
}

type avoidEvents []avoidEvent

func (q avoidEvents) Len() int           { return len(q) }
func (q avoidEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q avoidEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *avoidEvents) Push(e any)        { *q = append(*q, e.(avoidEvent)) }
func (q *avoidEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// avoidEngine is an upstream with the truth of what it states.
type avoidEngine struct {
	upstream registry.Upstream
	// leavingFrom is when it begins to say that it is leaving, zero for never.
	leavingFrom time.Time
	// It refuses from refusingFrom to refusingUntil, with a backoff.
	refusingFrom, refusingUntil time.Time
	backoff                     time.Duration
}

// toldWindow is a time in which an upstream wants nothing from a router.
type toldWindow struct {
	from, until time.Time
	arrivals    int
}

// avoidRouter is a router. In a fleet with a home all share its pool.
type avoidRouter struct {
	pool    *turn.Pool
	avoided avoidance.Set[turn.Instance]
	leaving map[turn.Instance]time.Time
	windows map[turn.Instance][]*toldWindow
}

// avoidModel plays routers before upstreams that state in their answers that they are leaving or want no requests.
type avoidModel struct {
	random  *rand.Rand
	now     time.Time
	events  avoidEvents
	engines []*avoidEngine
	routers []*avoidRouter
	number  uint64

	late, broken, refused, served, sent int
	// problems are what must not happen.
	problems []string
	// servedAt is when requests were last served.
	servedAt time.Time
}

func newAvoidModel(seed uint64) *avoidModel {
	m := &avoidModel{random: rand.New(rand.NewPCG(seed, 0)), now: start}
	count := 1 + m.random.IntN(12)
	leaving, refusing := m.random.IntN(count+1), m.random.IntN(count+1)
	for i := range count {
		e := &avoidEngine{upstream: registry.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:1", i), StartTime: 1, Slots: 64}}
		if i < leaving && m.random.IntN(2) == 0 {
			e.leavingFrom = start.Add(m.anyTime(8 * time.Second))
		}
		if m.random.IntN(count) < refusing {
			e.refusingFrom = start.Add(m.anyTime(6 * time.Second))
			e.refusingUntil = e.refusingFrom.Add(m.anyTime(4 * time.Second))
			e.backoff = 100*time.Millisecond + m.anyTime(4*time.Second)
		}
		m.engines = append(m.engines, e)
	}
	hasHome := m.random.IntN(2) == 0
	shared := &turn.Pool{}
	for range 1 + m.random.IntN(5) {
		r := &avoidRouter{pool: &turn.Pool{}, leaving: make(map[turn.Instance]time.Time), windows: make(map[turn.Instance][]*toldWindow)}
		if hasHome {
			r.pool = shared
		}
		r.pool.SetGrouped(m.now, hasHome)
		m.routers = append(m.routers, r)
		m.refresh(r)
	}
	return m
}

func (m *avoidModel) anyTime(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most)))
}

func (m *avoidModel) in(d time.Duration, play func()) {
	heap.Push(&m.events, avoidEvent{m.now.Add(d), play})
}

// refresh gives a router's pool the upstreams that the router doesn't know to be leaving.
func (m *avoidModel) refresh(r *avoidRouter) {
	var list []registry.Upstream
	for _, e := range m.engines {
		if term, avoided := r.avoided.Find(m.now, turn.InstanceOf(e.upstream)); !avoided || term.Reason != avoidance.Leaving {
			list = append(list, e.upstream)
		}
	}
	r.pool.SetLeavingCount(len(m.engines) - len(list))
	r.pool.SetUpstreams(m.now, list, target)
}

// submit asks for a turn of a request, again after an upstream has refused it.
func (m *avoidModel) submit(r *avoidRouter, request turn.Request, sends int) {
	submitted := m.now
	ticket, err := r.pool.Submit(m.now, request)
	if err != nil {
		m.refused++
		var refused *turn.RefusedError
		if errors.As(err, &refused) && refused.Lack == turn.LackBackoff && !m.avoidsAll(r, request.Tried) {
			m.problems = append(m.problems, "refused for a backoff beside an upstream that wants requests")
		}
		return
	}
	var poll func()
	poll = func() {
		switch {
		case len(ticket.Refused()) > 0:
			m.refused++
		case isGranted(ticket):
			m.in(m.dialTime(), func() { m.send(r, request, ticket, sends) })
		case m.now.Sub(submitted) >= ticket.Patience():
			_ = ticket.Cancel(m.now)
			m.refused++
		default:
			m.in(2*time.Millisecond, poll)
		}
	}
	poll()
}

func (m *avoidModel) dialTime() time.Duration {
	if m.random.IntN(10) == 0 {
		return m.anyTime(slowestDial)
	}
	return time.Millisecond
}

// avoidsAll reports whether a router must not send to any upstream that a request hasn't tried.
func (m *avoidModel) avoidsAll(r *avoidRouter, tried []turn.Instance) bool {
	for _, e := range m.engines {
		i := turn.InstanceOf(e.upstream)
		_, avoided := r.avoided.Find(m.now, i)
		_, listed := r.pool.Upstream(i) // a home knows what other routers have heard
		if !avoided && listed && !slices.Contains(tried, i) {
			return false
		}
	}
	return true
}

// send sends a request unless its router has heard meanwhile that the upstream wants none.
func (m *avoidModel) send(r *avoidRouter, request turn.Request, ticket *turn.Ticket, sends int) {
	i := turn.InstanceOf(ticket.Upstream())
	if _, avoided := r.avoided.Find(m.now, i); avoided {
		ticket.End(m.now, turn.Unsent)
		m.submit(r, request, sends)
		return
	}
	m.sent++
	if from, told := r.leaving[i]; told && m.now.Sub(from) > statedLeavingBound {
		m.late++
	}
	for _, w := range r.windows[i] {
		if m.now.After(w.from) && m.now.Before(w.until) {
			w.arrivals++
		}
	}
	var engine *avoidEngine
	for _, e := range m.engines {
		if turn.InstanceOf(e.upstream) == i {
			engine = e
		}
	}
	m.in(time.Millisecond, func() { m.answer(r, request, ticket, engine, sends) })
}

// answer plays the header of an upstream's answer.
func (m *avoidModel) answer(r *avoidRouter, request turn.Request, ticket *turn.Ticket, e *avoidEngine, sends int) {
	i := turn.InstanceOf(e.upstream)
	if !e.leavingFrom.IsZero() && !m.now.Before(e.leavingFrom) && r.avoided.RecordLeaving(m.now, i) {
		r.leaving[i] = m.now
		m.refresh(r)
	}
	if m.now.Before(e.refusingFrom) || !m.now.Before(e.refusingUntil) {
		m.served++
		m.servedAt = m.now
		m.in(300*time.Millisecond, func() { ticket.End(m.now, turn.Served) })
		return
	}
	r.windows[i] = append(r.windows[i], &toldWindow{from: m.now.Add(statedBackoffSlack), until: m.now.Add(e.backoff)})
	until, began := r.avoided.RecordBackoff(m.now, i, e.backoff)
	r.pool.ApplyBackoff(m.now, i, until)
	if began {
		m.in(until.Sub(m.now), func() { r.pool.Wake(m.now) })
	}
	ticket.End(m.now, turn.Refused)
	if sends < 4 {
		request.Tried = append(request.Tried[:len(request.Tried):len(request.Tried)], i)
		m.submit(r, request, sends+1)
	}
}

// play lets requests come for some time and all that follows from them happen.
func (m *avoidModel) play(during time.Duration) {
	end := start.Add(during)
	var arrive func()
	arrive = func() {
		if m.now.After(end) {
			return
		}
		m.number++
		r := m.routers[m.random.IntN(len(m.routers))]
		request := prompt("a", 1+m.random.Uint64N(20), 1000+m.number, 200)
		request.Patience = 250 * time.Millisecond
		request.Avoid = &r.avoided
		m.submit(r, request, 1)
		m.in(m.anyTime(20*time.Millisecond), arrive)
	}
	arrive()
	for len(m.events) > 0 {
		next, _ := heap.Pop(&m.events).(avoidEvent)
		m.now = next.at
		next.play()
	}
	for _, r := range m.routers {
		for _, windows := range r.windows {
			for _, w := range windows {
				if w.arrivals > statedBackoffArrivals {
					m.broken++
				}
			}
		}
	}
}

// lastUp returns when the last upstream that stays wants requests again for good, and false if all leave.
func (m *avoidModel) lastUp() (time.Time, bool) {
	var last time.Time
	stays := false
	for _, e := range m.engines {
		if e.leavingFrom.IsZero() {
			stays = true
			if up := e.refusingUntil.Add(e.backoff); up.After(last) {
				last = up
			}
		}
	}
	return last, stays
}

// Guards against requests to upstreams that have stated that they are leaving or want none, whatever was in flight, and against
// requests that are refused although others want some: from none to all of the upstreams state something, to routers that decide for
// themselves and to those with a home.
func TestModelOfUpstreamsThatStateSomething(t *testing.T) {
	t.Parallel()
	const during = 18 * time.Second
	for seed := range 300 {
		m := newAvoidModel(uint64(seed))
		m.play(during)
		require.Zero(t, m.late, "seed %d", seed)
		require.Zero(t, m.broken, "seed %d", seed)
		require.Empty(t, m.problems, "seed %d", seed)
		if up, stays := m.lastUp(); stays && up.Add(backInUse).Before(start.Add(during)) {
			require.True(t, m.servedAt.After(start.Add(during-backInUse)), "seed %d: served until %v", seed, m.servedAt.Sub(start))
		}
	}
}
