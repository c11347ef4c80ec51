package deployment

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/handover/relay"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/overload"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// handoverPeriodEnd is how long no request has to be handed over until the log says that
	// handing over has ended.
	handoverPeriodEnd = 2 * time.Second
	// relayShare is the share of the connections that a router may have up to which they are relays.
	// A relay takes up to six file descriptors, as a caller's connection does: two connections, and
	// a pipe of the kernel for each direction.
	relayShare = 2
)

// errHandoverOff is returned while there is no router to which requests can be handed over.
var errHandoverOff = eris.New("handover: no other router of the data centre in a large fleet")

// handoverOptions configure handovers.
type handoverOptions struct {
	self       fleet.RouterID
	dataCenter fleet.DataCenterID
	send       func(to fleet.RouterID, batch *schema.Batch)
	// isActive reports whether the fleet is large and this router's link isn't full: a relay sends
	// the body and the answer over the link twice.
	isActive func() bool
	// isExhausted reports whether shedding alone doesn't give this router the processor time that it
	// needs.
	isExhausted func() bool
	// isBusy reports whether this router sheds, is overloaded or not ready, and isStopping whether it
	// is in a planned stop.
	isBusy, isStopping func() bool
	// maxRelays is the number of relays in both directions that this router may have.
	maxRelays int
	dialer    relay.Dialer
	metrics   *metric.Set
	log       *slog.Logger
	// requestLog gets the lines on single relays that broke.
	requestLog *slog.Logger
}

// handovers hands over requests to other routers and accepts theirs. A nil *handovers does neither.
type handovers struct {
	options handoverOptions
	token   handover.Token
	// address is that of the listener for relays; empty if there is none.
	address string
	// relays counts the relays in both directions, taken those to other routers, and begun the
	// requests that this router began to serve since its last sample.
	relays, taken, begun atomic.Int64
	// limiter limits the relays if they alone take more processor time than this router has.
	limiter overload.Shedder[fleet.AccountID]
	// running ends when the router does, and the relays with it.
	running context.Context
	end     context.CancelFunc

	mu      sync.Mutex
	offers  handover.Offers
	helpers handover.Helpers
	// nearby are the connected routers of this data centre.
	nearby map[fleet.RouterID]bool
	period handoverPeriod
}

// handoverPeriod is a time in which this router hands over requests.
type handoverPeriod struct {
	beganAt, latestAt time.Time
	results           map[handover.Result]int
}

func newHandovers(options handoverOptions) (*handovers, error) {
	token, err := relay.NewToken()
	if err != nil {
		return nil, err
	}
	h := &handovers{options: options, token: token, nearby: make(map[fleet.RouterID]bool)}
	h.running, h.end = context.WithCancel(context.Background())
	return h, nil
}

// Run ends the relays when ctx ends. The server doesn't know their connections any more.
func (h *handovers) Run(ctx context.Context) error {
	<-ctx.Done()
	h.end()
	return ctx.Err()
}

// Connect returns a connection to a router that accepts a request.
func (h *handovers) Connect(request forward.HandedRequest) (forward.Relay, error) {
	if !h.hasNearby() || !h.options.isActive() {
		return nil, errHandoverOff
	}
	now := time.Now()
	if !h.limiter.Admit(now, request.Account) || !h.acquire() {
		return nil, h.fail(now, &handover.Error{Result: handover.Limited})
	}
	helper, ok := h.choose(now)
	if !ok {
		h.Release()
		return nil, h.fail(now, &handover.Error{Result: handover.NoOffer})
	}
	conn, err := h.options.dialer.Dial(h.running, helper, relay.Preamble{
		Token: helper.Token, Age: now.Sub(request.Arrived), Caller: request.RemoteAddr, Router: h.options.self,
	})
	if err != nil {
		h.Release()
		return nil, h.fail(now, &handover.Error{Result: handover.ConnectFailed, Router: helper.Router, Cause: err})
	}
	h.begin(now, helper.Router)
	return &openRelay{handovers: h, helper: helper.Router, request: request, conn: conn}, nil
}

func (h *handovers) hasNearby() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.nearby) > 0
}

// acquire reports whether another relay is allowed, and counts it if so.
func (h *handovers) acquire() bool {
	if h.relays.Add(1) > int64(h.options.maxRelays) {
		h.relays.Add(-1)
		return false
	}
	return true
}

// Release counts down the relays.
func (h *handovers) Release() { h.relays.Add(-1) }

// choose returns the helper of a request, and asks for offers if it is time to.
func (h *handovers) choose(now time.Time) (handover.Helper, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.helpers.ShouldAsk(now) {
		for router := range h.nearby {
			h.options.send(router, &schema.Batch{HandoverQuery: &schema.HandoverQuery{Known: h.helpers.Knows(router)}})
		}
	}
	return h.helpers.Take(now)
}

// takenConnections returns the number of callers' connections that were taken from the server for
// relays, which it counts as closed.
func (h *handovers) takenConnections() int64 {
	if h == nil {
		return 0
	}
	return h.taken.Load()
}

// begin records that a helper has accepted a request, and logs when a period begins.
func (h *handovers) begin(now time.Time, helper fleet.RouterID) {
	h.mu.Lock()
	h.helpers.RecordConnected(helper)
	began := h.period.beganAt.IsZero()
	if began {
		h.period.beganAt = now
	}
	h.period.latestAt = now
	nearby := len(h.nearby)
	h.mu.Unlock()
	if began {
		h.options.log.Warn("handing over requests began", "routers", nearby)
	}
}

// fail counts a request that wasn't handed over, and returns err.
func (h *handovers) fail(now time.Time, err *handover.Error) error {
	h.mu.Lock()
	if err.Result == handover.ConnectFailed {
		h.helpers.RecordFailure(now, err.Router)
	}
	h.mu.Unlock()
	h.count(err.Result)
	return err
}

func (h *handovers) count(result handover.Result) {
	h.options.metrics.Handovers.WithLabelValues(string(result)).Inc()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.period.results == nil {
		h.period.results = make(map[handover.Result]int)
	}
	h.period.results[result]++
}

// observe adds a sample of the wait for the processor, and sends the offers that are due.
func (h *handovers) observe(now time.Time, wait time.Duration) {
	if h == nil {
		return
	}
	relayWait := wait
	if !h.options.isExhausted() {
		// A relay takes less time than serving the request, so the router first serves less.
		relayWait = 0
	}
	h.limiter.Observe(now, relayWait)
	sample := handover.Sample{
		Begun: int(h.begun.Swap(0)), Wait: wait, Busy: h.options.isBusy() || h.options.isStopping(),
		Room: h.options.maxRelays - int(h.relays.Load()),
	}
	h.mu.Lock()
	h.offers.Observe(now, sample)
	due := h.offers.Renew(now)
	ended := h.endPeriod(now)
	h.mu.Unlock()
	for _, offer := range due {
		h.options.send(offer.Router, &schema.Batch{HandoverOffer: &schema.HandoverOffer{Requests: uint32(offer.Requests)}})
	}
	if !ended.beganAt.IsZero() {
		h.options.log.Warn("handing over requests ended", "lasted-ms", ended.latestAt.Sub(ended.beganAt).Milliseconds(),
			"sent", ended.results[handover.Sent], "broken", ended.results[handover.Broken],
			"connect-failed", ended.results[handover.ConnectFailed], "no-offer", ended.results[handover.NoOffer],
			"limited", ended.results[handover.Limited])
	}
}

// endPeriod returns the current period if it has ended, and its relays too, else a zero one. mu must be held.
func (h *handovers) endPeriod(now time.Time) handoverPeriod {
	if h.period.beganAt.IsZero() || now.Sub(h.period.latestAt) < handoverPeriodEnd || h.taken.Load() > 0 {
		return handoverPeriod{}
	}
	ended := h.period
	h.period = handoverPeriod{}
	return ended
}

// handleConnectionChange handles a connection to another router that was opened or lost.
func (h *handovers) handleConnectionChange(c peer.Change) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Connected && c.DataCenter == h.options.dataCenter {
		h.nearby[c.Router] = true
		return
	}
	delete(h.nearby, c.Router)
	h.helpers.Forget(c.Router)
	h.offers.Forget(c.Router)
}

// openRelay is a request that a helper has accepted.
type openRelay struct {
	handovers *handovers
	helper    fleet.RouterID
	request   forward.HandedRequest
	conn      *net.TCPConn
}

// Run relays the request and its answer.
func (o *openRelay) Run(caller net.Conn, buffered *bufio.Reader) {
	h := o.handovers
	defer h.Release()
	h.taken.Add(1)
	defer h.taken.Add(-1)
	r := &relay.Relay{Request: o.request.Request, Caller: caller, Buffered: buffered, Helper: o.conn, Deadline: o.request.Deadline}
	stop := context.AfterFunc(h.running, r.Close)
	defer stop()
	err := r.Run()
	if err == nil {
		h.count(handover.Sent)
		return
	}
	h.count(handover.Broken)
	h.options.requestLog.Warn("relay broken", "request", o.request.ID, "other", o.helper, "account", o.request.Account,
		"age-ms", time.Since(o.request.Arrived).Milliseconds(), "error", err)
}

// Cancel closes the connection.
func (o *openRelay) Cancel() {
	o.handovers.Release()
	o.handovers.count(handover.ConnectFailed)
	_ = o.conn.Close()
}
