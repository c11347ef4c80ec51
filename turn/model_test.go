package turn_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/turn"
)

// model plays routers, engines and callers in virtual time: each router has a Pool
// of its own and hears from the others by reports only, which come late.
//
// Engines read prompts in the order of arrival, keep what they read up to a bound,
// and generate at a fixed pace; what is left out is that reading slows generation.
type model struct {
	now    time.Time
	random *rand.Rand
	events eventQueue
	pools  []*turn.Pool
	// engines by id.
	engines map[fleet.UpstreamID]*modelEngine
	load    modelLoad
	// outcome of the callers.
	asked, begun map[fleet.AccountID]*[seconds]float64
	unserved     map[fleet.AccountID]*[seconds]bool
	largest      map[fleet.AccountID]float64
	inTime       int
	late         int
	refused      int
	beside       int
	// deepest is the longest reading that an engine had ahead of it.
	deepest time.Duration
	next    uint64
}

// seconds bounds the length of a play.
const seconds = 40

// modelLoad is what a model plays.
type modelLoad struct {
	routers, engines int
	speed            float64 // tokens read in a millisecond
	target           time.Duration
	length           time.Duration
	reports          time.Duration
	accounts         []modelAccount
	shared           int // beginnings
	seed             uint64
	// homes is how many routers give the turns for all; zero means that each gives
	// its own, by reports.
	homes int
}

// modelAccount asks by a Poisson process at some of the routers.
type modelAccount struct {
	id      fleet.AccountID
	rate    float64 // requests a second
	routers []int
	from    time.Duration
	until   time.Duration
	// taken is the requests a second that the account's router has processor time for,
	// zero for all.
	taken float64
	// credit is the part of a request that the router may take beyond those that it took.
	credit *float64
}

type modelEngine struct {
	freeAt time.Time
	cache  map[uint64]time.Time
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // the queue holds events only
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (m *model) after(d time.Duration, do func()) {
	m.next++
	heap.Push(&m.events, event{at: m.now.Add(d), seq: m.next, do: do})
}

const (
	// modelWay is the time from a router to another one or to an engine.
	modelWay = time.Millisecond
	// modelStep is the time of a first event beyond its prompt's reading.
	modelStep = 35 * time.Millisecond
	// modelRun is how long an answer takes after its first event.
	modelRun = 300 * time.Millisecond
	// modelCache is how long an engine of the model keeps what it read.
	modelCache = 40 * time.Second
)

func play(load modelLoad) *model {
	m := &model{
		now: start, random: rand.New(rand.NewPCG(load.seed, 1)), load: load,
		engines: make(map[fleet.UpstreamID]*modelEngine),
		asked:   make(map[fleet.AccountID]*[seconds]float64), begun: make(map[fleet.AccountID]*[seconds]float64),
		unserved: make(map[fleet.AccountID]*[seconds]bool), largest: make(map[fleet.AccountID]float64),
	}
	list := engines(load.engines)
	for _, u := range list {
		m.engines[u.ID] = &modelEngine{cache: make(map[uint64]time.Time)}
	}
	m.makePools(list)
	for _, a := range load.accounts {
		m.asked[a.id] = &[seconds]float64{}
		m.begun[a.id] = &[seconds]float64{}
		m.unserved[a.id] = &[seconds]bool{}
		m.after(a.from, func() { m.arrive(a) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event) //nolint:forcetypeassert // the queue holds events only
		if e.at.Sub(start) > load.length {
			break
		}
		m.now = e.at
		e.do()
	}
	return m
}

// makePools makes a pool for each router, or for each home that has a part of the
// engines and hears of all requests for them.
func (m *model) makePools(list []registry.Upstream) {
	homes := m.load.homes
	for h := range homes {
		p := &turn.Pool{}
		p.Set(m.now, list[h*len(list)/homes:(h+1)*len(list)/homes], m.load.target)
		m.pools = append(m.pools, p)
	}
	if homes > 0 {
		return
	}
	for i := range m.load.routers {
		p := &turn.Pool{}
		p.Set(m.now, list, m.load.target)
		m.pools = append(m.pools, p)
		m.after(time.Duration(m.random.Int64N(int64(m.load.reports))), func() { m.report(i) })
	}
}

func (m *model) report(from int) {
	r := m.pools[from].Report(m.now)
	m.after(modelWay, func() {
		for to, p := range m.pools {
			if to != from {
				p.Observe(m.now, fleet.RouterID(fmt.Sprintf("r%d", from)), r)
			}
		}
	})
	m.after(m.load.reports, func() { m.report(from) })
}

// arrive makes a request of an account, and the next one later.
func (m *model) arrive(a modelAccount) {
	if a.until > 0 && m.now.Sub(start) > a.until {
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/a.rate*float64(time.Second)), func() { m.arrive(a) })
	m.next++
	shared := uint64(m.random.IntN(m.load.shared)) + 1
	begins := int(min(6_000*math.Exp(m.random.NormFloat64()*0.7), 30_000))
	own := int(min(2_000*math.Exp(m.random.NormFloat64()), 30_000))
	d := turn.Demand{
		Account: a.id, Input: begins + own, Output: 100, Target: m.load.target, Patience: m.load.target / 4,
		Beginnings: []turn.Beginning{{Hash: shared, Tokens: begins}, {Hash: 1<<40 + m.next, Tokens: begins + own}},
	}
	size := float64(d.Input + 2*d.Output)
	m.asked[a.id][m.second()] += size
	m.largest[a.id] = max(m.largest[a.id], size)
	if !a.takes() {
		m.shed(a, d)
		return
	}
	pool := a.routers[m.random.IntN(len(a.routers))]
	if m.load.homes > 0 {
		pool = int(shared) % m.load.homes
	}
	m.ask(pool, d, m.now)
}

// shed refuses a request for which the account's router has no time, and tells those that
// give turns.
func (m *model) shed(a modelAccount, d turn.Demand) {
	m.refuse(d)
	if m.load.homes == 0 {
		m.pools[a.routers[0]].Shed(m.now, a.id, turn.Cost(d.Input, d.Output))
		return
	}
	for _, p := range m.pools {
		p.Shed(m.now, a.id, turn.Cost(d.Input, d.Output)/float64(m.load.homes))
	}
}

// takes reports whether the account's router has processor time for its next request.
func (a modelAccount) takes() bool {
	if a.taken == 0 {
		return true
	}
	*a.credit += a.taken / a.rate
	if *a.credit < 1 {
		return false
	}
	*a.credit--
	return true
}

func (m *model) second() int { return min(int(m.now.Sub(start)/time.Second), seconds-1) }

func (m *model) ask(router int, d turn.Demand, came time.Time) {
	t, err := m.pools[router].Ask(m.now, d)
	if err != nil {
		m.refuse(d)
		return
	}
	m.await(router, t, d, came, m.now.Add(t.Patience()))
}

// await looks every few milliseconds whether a turn has come.
func (m *model) await(router int, t *turn.Ticket, d turn.Demand, came, until time.Time) {
	switch {
	case started(t):
		m.after(modelWay, func() { m.run(t, d, came) })
	case !m.now.Before(until):
		if t.GiveUp(m.now) == nil {
			m.after(modelWay, func() { m.run(t, d, came) })
			return
		}
		m.refuse(d)
	default:
		m.after(2*time.Millisecond, func() { m.await(router, t, d, came, until) })
	}
}

func (m *model) refuse(d turn.Demand) {
	m.refused++
	m.unserved[d.Account][m.second()] = true
	for _, e := range m.engines {
		if !e.freeAt.After(m.now) {
			m.beside++
			break
		}
	}
}

// run is the arrival of a request at its engine.
func (m *model) run(t *turn.Ticket, d turn.Demand, came time.Time) {
	e := m.engines[t.Upstream().ID]
	work := d.Input
	for _, b := range d.Beginnings {
		if at, ok := e.cache[b.Hash]; ok && m.now.Sub(at) < modelCache {
			work = min(work, d.Input-b.Tokens)
		}
		e.cache[b.Hash] = m.now
	}
	begins := m.now
	if e.freeAt.After(begins) {
		begins = e.freeAt
	}
	reading := time.Duration(float64(work) / m.load.speed * float64(time.Millisecond))
	m.deepest = max(m.deepest, begins.Sub(m.now))
	e.freeAt = begins.Add(reading)
	m.after(e.freeAt.Sub(m.now)+modelStep, func() { m.first(t, d, came) })
}

func (m *model) first(t *turn.Ticket, d turn.Demand, came time.Time) {
	m.begun[d.Account][m.second()] += float64(d.Input + 2*d.Output)
	if m.now.Sub(came) <= m.load.target {
		m.inTime++
	} else {
		m.late++
		m.unserved[d.Account][m.second()] = true
	}
	m.after(modelWay, func() { t.First(m.now) })
	m.after(modelRun, func() { t.End(m.now, turn.Served) })
}

// least returns the least part that an account got of its due in any six
// seconds in each of which a request of it was refused or late. Its due is, second
// by second, what it asked or what the best served account got, whichever is
// less, less three of its largest requests.
func (m *model) least() (float64, fleet.AccountID, int) {
	const window = 6
	worst, who, when := math.Inf(1), fleet.AccountID(""), 0
	for from := range int(m.load.length/time.Second) - window + 1 {
		best := m.best(from, window)
		for id := range m.asked {
			due, got, all := 0.0, 0.0, true
			for s := from; s < from+window; s++ {
				all = all && m.unserved[id][s]
				due += min(m.asked[id][s], m.begun[best][s])
				got += m.begun[id][s]
			}
			due -= 3 * m.largest[id]
			if all && due > 0 && got/due < worst {
				worst, who, when = got/due, id, from
			}
		}
	}
	return worst, who, when
}

// best returns the account that got most in a window.
func (m *model) best(from, window int) fleet.AccountID {
	var best fleet.AccountID
	most := -1.0
	for id, begun := range m.begun {
		sum := 0.0
		for s := from; s < from+window; s++ {
			sum += begun[s]
		}
		if sum > most {
			best, most = id, sum
		}
	}
	return best
}
