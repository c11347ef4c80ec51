package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/budget"
)

const (
	mib   = 1 << 20
	crowd = "crowd"
	other = "other"
)

var start = time.Unix(1_800_000_000, 0)

type pool = budget.Pool[string]

// sender is a connection on which a request's body arrives.
type sender struct {
	*budget.Lease[string]
	evicted *budget.Eviction
	gone    bool
}

func (s *sender) Evict(e budget.Eviction) { s.evicted = &e }
func (s *sender) IsGone() bool            { return s.gone }

func open(t require.TestingT, p *pool, now time.Time, account string, stage budget.Stage) *sender {
	s := &sender{}
	var err error
	s.Lease, err = p.Open(now, s)
	require.NoError(t, err)
	if stage != budget.Head && stage != budget.Idle && stage != budget.Closing {
		require.NoError(t, s.Admit(account))
	}
	_ = s.Enter(now, stage)
	return s
}

// receive lets bytes of a body arrive.
func (s *sender) receive(now time.Time, bytes int) error {
	if err := s.Take(now, int64(bytes)); err != nil {
		return err
	}
	s.Advance(now, bytes)
	return nil
}

func TestZeroPoolServes(t *testing.T) {
	t.Parallel()
	var p pool
	s := open(t, &p, start, other, budget.Body)
	require.NoError(t, s.receive(start, 4*mib))
	require.Equal(t, int64(4*mib+budget.ConnectionBytes), p.Usage().Bytes)
	require.NoError(t, s.Enter(start, budget.Serving))
	require.NoError(t, s.Enter(start, budget.Idle))
	require.Equal(t, int64(budget.ConnectionBytes), p.Usage().Bytes)
	s.Close()
	require.Zero(t, p.Usage().Bytes)
	require.NoError(t, (*budget.Lease[string])(nil).Take(start, 1<<40))
}

// Guards against bodies that stop short of their end and keep the memory that others need.
func TestCallerWithoutProgressGivesWay(t *testing.T) {
	t.Parallel()
	p := pool{Bytes: 16 * mib}
	stopped := open(t, &p, start, crowd, budget.Body)
	require.NoError(t, stopped.receive(start, 6*mib))
	smaller := open(t, &p, start, crowd, budget.Body)
	require.NoError(t, smaller.receive(start, 4*mib))
	now := start.Add(5 * time.Second)
	fresh := open(t, &p, now, crowd, budget.Body)
	require.NoError(t, fresh.receive(now, 4*mib))
	require.NotNil(t, stopped.evicted)
	require.Nil(t, smaller.evicted)
	require.Nil(t, fresh.evicted)
	var evicted *budget.EvictedError
	require.ErrorAs(t, stopped.Take(now, 1), &evicted)
	require.Equal(t, budget.Eviction{Resource: budget.Memory, Stage: budget.Body, Bytes: 6*mib + budget.ConnectionBytes}, evicted.Eviction)
}

// Guards against bodies that come a byte now and then, so that none of them counts as stopped.
func TestCallerThatDripsGivesWay(t *testing.T) {
	t.Parallel()
	p := pool{Bytes: 16 * mib}
	dripping := open(t, &p, start, crowd, budget.Body)
	require.NoError(t, dripping.receive(start, 6*mib))
	sending := open(t, &p, start, crowd, budget.Body)
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		dripping.Advance(now, 1)
		require.NoError(t, sending.receive(now, mib/10))
	}
	fresh := open(t, &p, now, crowd, budget.Body)
	require.NoError(t, fresh.receive(now, 4*mib))
	require.NotNil(t, dripping.evicted)
	require.Nil(t, sending.evicted)
}

// Guards against callers that all progress and evict each other shortly before their ends, so that no request is ever whole.
func TestOldestBodiesEndUnderPressure(t *testing.T) {
	t.Parallel()
	const step, size = 64 << 10, 4 * mib
	p := pool{Bytes: 16 * mib}
	senders := make(map[*sender]int)
	whole := 0
	now := start
	for range 2000 {
		now = now.Add(2 * time.Millisecond)
		for s := range senders {
			if s.receive(now, step) != nil {
				s.Close()
				delete(senders, s)
				continue
			}
			if senders[s] += step; senders[s] == size {
				whole++
				s.Close()
				delete(senders, s)
			}
		}
		for len(senders) < 40 {
			senders[open(t, &p, now, crowd, budget.Body)] = 0
		}
		require.LessOrEqual(t, p.Usage().Bytes, int64(16*mib))
	}
	require.Greater(t, whole, 20)
}

// Guards against crowds whose connections come on, and ordinary callers beside them of whom nothing else is known that give way since
// they came last.
func TestSmallRequestsStayBesideACrowd(t *testing.T) {
	t.Parallel()
	p := pool{Bytes: 16 * mib}
	var heads []*sender
	for range 100 {
		s := open(t, &p, start, "", budget.Head)
		heads = append(heads, s)
		require.NoError(t, s.receive(start, mib))
		small := open(t, &p, start, "", budget.Head)
		require.NoError(t, small.receive(start, 1<<10))
		for _, h := range heads {
			if h.evicted != nil {
				h.Close()
			}
		}
		require.Nil(t, small.evicted)
		small.Close()
	}
}

// Guards against one account's crowd by which other accounts are refused, whether its requests are whole or not.
func TestCrowdOfOneAccountLeavesRoomForOthers(t *testing.T) {
	t.Parallel()
	for _, stage := range []budget.Stage{budget.Body, budget.Serving} {
		p := pool{Bytes: 16 * mib}
		var refused error
		var crowded []*sender
		for range 100 {
			s := open(t, &p, start, crowd, stage)
			crowded = append(crowded, s)
			refused = s.receive(start, mib)
			for _, c := range crowded {
				if c.evicted != nil {
					c.Close()
				}
			}
			if refused != nil {
				s.Close()
			}
		}
		if stage == budget.Serving {
			var exhausted *budget.ExhaustedError
			require.ErrorAs(t, refused, &exhausted)
		}
		s := open(t, &p, start, other, budget.Body)
		require.NoError(t, s.receive(start, 3*mib), stage.String())
	}
}

// Guards against a whole request, or an answer that is being read, that is given up for another one.
func TestWholeRequestsAndReadAnswersStay(t *testing.T) {
	t.Parallel()
	p := pool{Bytes: 16 * mib, MaxConnections: 3}
	serving, sending := open(t, &p, start, crowd, budget.Serving), open(t, &p, start, crowd, budget.Sending)
	unread := open(t, &p, start, other, budget.Sending)
	for _, s := range []*sender{serving, sending, unread} {
		require.NoError(t, s.receive(start, 3*mib))
	}
	now := start.Add(3 * time.Second)
	sending.Advance(now, 1)
	s := open(t, &p, now, "", budget.Head)
	require.NotNil(t, unread.evicted)
	require.Equal(t, budget.Connections, unread.evicted.Resource)
	unread.Close()
	require.NoError(t, s.receive(now, 3*mib))
	require.Nil(t, serving.evicted)
	require.Nil(t, sending.evicted)
	require.NoError(t, s.Enter(now, budget.Serving))
	_, err := p.Open(now, &sender{})
	var exhausted *budget.ExhaustedError
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, budget.Connections, exhausted.Resource)
}

// Guards against whole requests of one account that take all connections, so that other callers can't even ask.
func TestWholeRequestsOfOneAccountLeaveConnections(t *testing.T) {
	t.Parallel()
	p := pool{MaxConnections: 16}
	admitted := 0
	for range 16 {
		lease, err := p.Open(start, &sender{})
		require.NoError(t, err)
		if lease.Admit(crowd) != nil {
			lease.Close()
			continue
		}
		require.NoError(t, lease.Enter(start, budget.Serving))
		admitted++
	}
	require.Equal(t, 12, admitted)
	open(t, &p, start, other, budget.Serving)
}

// Guards against requests that go on though their callers have left.
func TestConnectionOfACallerThatLeftExpires(t *testing.T) {
	t.Parallel()
	var p pool
	here, gone := open(t, &p, start, other, budget.Serving), open(t, &p, start, crowd, budget.Serving)
	gone.gone = true
	p.Expire(start.Add(time.Second), budget.Timeouts{})
	require.Nil(t, here.evicted)
	require.Equal(t, &budget.Eviction{Resource: budget.Time, Stage: budget.Serving, Bytes: budget.ConnectionBytes}, gone.evicted)
}

// Guards against heads that go on for ever, and answers that nobody reads.
func TestStagesThatLastTooLongExpire(t *testing.T) {
	t.Parallel()
	var p pool
	silent, head, sending := open(t, &p, start, "", budget.Head), open(t, &p, start, "", budget.Head), open(t, &p, start, crowd, budget.Sending)
	require.NoError(t, head.Take(start, 1))
	p.Expire(start.Add(time.Second), budget.Timeouts{Head: 2 * time.Second, Sending: 2 * time.Second})
	require.Nil(t, head.evicted)
	p.Expire(start.Add(3*time.Second), budget.Timeouts{Head: 2 * time.Second, Sending: 2 * time.Second})
	require.Nil(t, silent.evicted)
	require.NotNil(t, head.evicted)
	require.NotNil(t, sending.evicted)
}

// Guards against connections that send nothing, or an endless head, and keep new callers out.
func TestConnectionWithoutARequestGivesWayToANewOne(t *testing.T) {
	t.Parallel()
	now := start.Add(time.Minute)
	p := pool{MaxConnections: 4}
	idle, head := open(t, &p, start, "", budget.Idle), open(t, &p, start, "", budget.Head)
	closing, fresh := open(t, &p, now, "", budget.Closing), open(t, &p, now, "", budget.Head)
	for i, next := range []*sender{closing, head, idle, fresh} {
		require.Nil(t, next.evicted)
		s := open(t, &p, now, string(rune('a'+i)), budget.Serving)
		require.NotNil(t, next.evicted)
		next.Close()
		require.Nil(t, s.evicted)
	}
}

// Guards against more open connections than descriptors while those that were evicted take their time to answer and close.
func TestEvictedConnectionsCountUntilTheyClose(t *testing.T) {
	t.Parallel()
	p := pool{MaxConnections: 16}
	first := open(t, &p, start, crowd, budget.Body)
	now := start.Add(time.Second)
	for range 16 + 2 - 1 {
		open(t, &p, now, "", budget.Head)
	}
	require.Equal(t, budget.Body, first.evicted.Stage)
	_ = first.Enter(now, budget.Closing)
	open(t, &p, now, "", budget.Head)
	require.Equal(t, budget.Closing, first.evicted.Stage)
}

// Guards against bytes that are given back twice or never, and against a limit that is exceeded, in any order of calls.
func TestPoolKeepsItsLimitsInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := pool{Bytes: mib, MaxConnections: 8}
		now := start
		var leases []*sender
		pick := func(t *rapid.T) *sender {
			if len(leases) == 0 {
				t.Skip("none is open")
			}
			return leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				s := &sender{}
				lease, err := p.Open(now, s)
				if err == nil {
					s.Lease = lease
					leases = append(leases, s)
				}
			},
			"take": func(t *rapid.T) {
				s := pick(t)
				before := p.Usage().Bytes
				if s.Take(now, int64(rapid.IntRange(0, mib/2).Draw(t, "bytes"))) != nil {
					require.Equal(t, before, p.Usage().Bytes)
				}
			},
			"give":    func(t *rapid.T) { pick(t).Give(int64(rapid.IntRange(0, mib).Draw(t, "bytes"))) },
			"advance": func(t *rapid.T) { pick(t).Advance(now, rapid.IntRange(0, mib).Draw(t, "bytes")) },
			"account": func(t *rapid.T) {
				_ = pick(t).Admit(rapid.SampledFrom([]string{"", crowd, other}).Draw(t, "account"))
			},
			"enter": func(t *rapid.T) {
				s := pick(t)
				err := s.Enter(now, rapid.SampledFrom(budget.Stages()).Draw(t, "stage"))
				require.Equal(t, s.evicted != nil, err != nil)
			},
			"close": func(t *rapid.T) { pick(t).Close() },
			"expire": func(t *rapid.T) {
				pick(t).gone = true
				p.Expire(now, budget.Timeouts{Head: time.Second, Sending: time.Second})
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				u := p.Usage()
				require.True(t, u.Bytes >= 0 && u.Bytes <= mib, "%d bytes", u.Bytes)
				open := 0
				for _, count := range u.Connections {
					open += count
				}
				require.LessOrEqual(t, open, 8)
			},
		})
		for _, s := range leases {
			s.Close()
		}
		require.Zero(t, p.Usage().Bytes)
		require.Zero(t, p.Usage().LargestBytes)
	})
}

// locking is a connection that uses its pool when it is evicted.
type locking struct {
	sender
	pool *pool
}

func (l *locking) Evict(budget.Eviction) { l.pool.Usage() }

// Guards against a deadlock between connections that evict each other.
func TestPoolIsSafeForConcurrentUse(t *testing.T) {
	t.Parallel()
	p := pool{Bytes: mib, MaxConnections: 8}
	done := make(chan struct{})
	for worker := range 8 {
		go func() {
			defer func() { done <- struct{}{} }()
			for i := range 500 {
				lease, err := p.Open(time.Now(), &locking{pool: &p})
				if err != nil {
					continue
				}
				_ = lease.Admit([]string{crowd, other}[worker%2])
				_ = lease.Enter(time.Now(), budget.Stage(i%len(budget.Stages())))
				_ = lease.Take(time.Now(), mib/6)
				lease.Close()
			}
		}()
	}
	for range 8 {
		<-done
	}
	require.Zero(t, p.Usage().Bytes)
}

func BenchmarkRequest(b *testing.B) {
	p := pool{MaxConnections: 1000}
	lease, err := p.Open(start, &sender{})
	require.NoError(b, err)
	for b.Loop() {
		_ = lease.Take(start, 2000)
		_ = lease.Admit(crowd)
		_ = lease.Enter(start, budget.Serving)
		_ = lease.Enter(start, budget.Sending)
		lease.Advance(start, 800)
		_ = lease.Enter(start, budget.Idle)
	}
}

// Guards against crowds that connect again as soon as they are evicted, and take all of the processor time so.
func TestConnectionsGetTimeForTheirHeads(t *testing.T) {
	t.Parallel()
	p := pool{MaxConnections: 2}
	require.Zero(t, p.OpenDelay(start))
	first := open(t, &p, start, crowd, budget.Head)
	require.False(t, p.IsFull())
	require.Zero(t, p.OpenDelay(start), "room for another one")
	second := open(t, &p, start.Add(50*time.Millisecond), crowd, budget.Head)
	require.True(t, p.IsFull())
	now := start.Add(80 * time.Millisecond)
	delay := p.OpenDelay(now)
	require.Positive(t, delay)
	require.Zero(t, p.OpenDelay(now.Add(delay)))
	require.NoError(t, second.Enter(now, budget.Idle))
	require.Zero(t, p.OpenDelay(now), "an idle connection gives way at once")
	for _, s := range []*sender{first, second} {
		require.NoError(t, s.Enter(now, budget.Serving))
	}
	require.Zero(t, p.OpenDelay(now), "a new connection is closed at once, so that its caller can go elsewhere")
}
