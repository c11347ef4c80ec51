package scheduler_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/dispatch"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/scheduler"
	"nutmeglock.example/nutmeglock/share"
	"nutmeglock.example/nutmeglock/store"
)

// vmList implements store.VMLister with a list that tests set.
type vmList struct {
	mu  sync.Mutex
	vms []store.VM
}

func (l *vmList) List(context.Context) ([]store.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]store.VM(nil), l.vms...), nil
}

// tcpRouter is a scheduler that reaches its peers over TCP.
type tcpRouter struct {
	*scheduler.Scheduler
	id       fleet.RouterID
	metrics  *metric.Set
	listener *cuttableListener
}

func startTCP(tb testing.TB, n int, view *note.View) []*tcpRouter {
	tb.Helper()
	list := &vmList{}
	var listeners []*cuttableListener
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		listeners = append(listeners, newCuttableListener(listener))
		list.vms = append(list.vms, store.VM{
			Name: fmt.Sprintf("router-%d", i), Role: store.RouterVM, Address: listener.Addr().String(),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	tb.Cleanup(func() {
		cancel()
		group.Wait()
	})
	var routers []*tcpRouter
	for i, listener := range listeners {
		id := fleet.RouterID(fmt.Sprintf("router-%d", i))
		metrics := metric.New(prometheus.NewRegistry())
		peers := peer.New(peer.Options{
			Self: id, Incarnation: 1, Address: listener.Addr().String(), Key: []byte("the key of the fleet"),
			Listener: listener, Metrics: metrics, Heartbeat: 200 * time.Millisecond,
		})
		s := scheduler.New(scheduler.Options[*share.Fair[fleet.ShortID], inflight.Fixed, placement.CacheAffinity]{
			Self: id, Incarnation: 1, Notes: fixedNotes{view}, Peers: peers, VMs: list, Metrics: metrics,
			SharePolicy: func() *share.Fair[fleet.ShortID] { return &share.Fair[fleet.ShortID]{} },
			Limiter:     func(slots int) inflight.Fixed { return inflight.Fixed(slots) }, Admission: admission.Bounded{},
		})
		group.Go(func() { _ = peers.Run(ctx) })
		group.Go(func() { _ = s.Run(ctx) })
		routers = append(routers, &tcpRouter{s, id, metrics, listener})
	}
	for _, r := range routers {
		require.Eventually(tb, func() bool {
			state, err := r.State(ctx)
			if err != nil {
				return false
			}
			dispatching := 0
			for _, other := range state.Routers {
				if other.Dispatches && other.Connected {
					dispatching++
				}
			}
			return dispatching == n
		}, 20*time.Second, 10*time.Millisecond)
	}
	return routers
}

func (r *tcpRouter) runOne(tb testing.TB, view *note.View, account string, duration time.Duration) string {
	tb.Helper()
	slot, err := r.Acquire(tb.Context(), dispatch.Request{
		Account: view.Account(fleet.AccountID(account)), Service: view.Service("model"), Estimate: 300,
		Deadline: time.Now().Add(time.Minute),
	})
	require.NoError(tb, err)
	time.Sleep(duration)
	slot.Release(dispatch.Completion{Result: dispatch.Answered, Cost: 310, FirstTokenLatency: duration})
	return slot.Upstream().GetId()
}

func (r *tcpRouter) controlBytes(direction string) float64 {
	var value dto.Metric
	_ = r.metrics.ControlBytes.WithLabelValues(direction, metric.Peer).Write(&value)
	return value.GetCounter().GetValue()
}

func TestSixRoutersOverLoopback(t *testing.T) {
	t.Parallel()
	view := newView(4, 6, 4)
	routers := startTCP(t, 6, view)
	var group sync.WaitGroup
	var mu sync.Mutex
	used := make(map[string]int)
	for i, r := range routers {
		for range 20 {
			group.Go(func() {
				upstream := r.runOne(t, view, fmt.Sprintf("account-%d", i%4), 5*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				used[upstream]++
			})
		}
	}
	group.Wait()
	require.Len(t, used, 6)
	for _, r := range routers {
		require.Eventually(t, func() bool {
			state, err := r.State(t.Context())
			if err != nil {
				return false
			}
			for _, u := range state.Upstreams {
				if u.InFlight+u.LocalInFlight > 0 {
					return false
				}
			}
			return true
		}, 10*time.Second, 10*time.Millisecond)
		require.Positive(t, r.controlBytes(metric.Sent))
	}
}
