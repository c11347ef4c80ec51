package scheduler

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/schema"
)

// Pace of polling upstreams for their load.
const (
	leastPollInterval = time.Second
	// pollStretch is added for each upstream of this dispatcher. One poll takes
	// some 350 bytes with its headers; at 26 upstreams that is 1 KB/s.
	pollStretch = 350 * time.Millisecond
	// learnInterval and learnTime pace the polls of an upstream once it is
	// filled for the first time. Its limit grows by a step for each report; at
	// the usual pace it would take ten seconds and more until the batch is full,
	// in which work waits or queues inside the engine.
	learnInterval = 250 * time.Millisecond
	learnTime     = 15 * time.Second
	pollTimeout   = time.Second
	// maxLoadBytes bounds a report; a usual one has about 100 bytes.
	maxLoadBytes = 4096
)

// poller asks the upstreams of this dispatcher for their load.
type poller struct {
	scheduler *Scheduler
	upstreams map[fleet.Number]*polled
	ctx       context.Context
	cancel    context.CancelFunc
}

type polled struct {
	address string
	next    time.Time
	busy    bool
	// learnUntil is set when the upstream is filled for the first time.
	learnUntil time.Time
}

func newPoller(s *Scheduler) *poller {
	p := &poller{scheduler: s, upstreams: make(map[fleet.Number]*polled)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *poller) close() { p.cancel() }

// watch replaces the upstreams that are polled.
func (p *poller) watch(owned []*schema.Upstream) {
	before := p.upstreams
	p.upstreams = make(map[fleet.Number]*polled, len(owned))
	for _, u := range owned {
		number := fleet.Number(u.GetNumber())
		each := before[number]
		if each == nil || each.address != u.GetAddress() {
			each = &polled{address: u.GetAddress()}
		}
		p.upstreams[number] = each
	}
}

func (p *poller) interval(now time.Time, number fleet.Number, each *polled) time.Duration {
	if each.learnUntil.IsZero() && p.scheduler.slots.Filled(now, number) {
		each.learnUntil = now.Add(learnTime)
	}
	if now.Before(each.learnUntil) {
		return learnInterval
	}
	return max(leastPollInterval, time.Duration(len(p.upstreams))*pollStretch)
}

func (p *poller) tick(now time.Time) {
	if p.scheduler.client == nil {
		return
	}
	for number, each := range p.upstreams {
		if each.busy || now.Before(each.next) {
			continue
		}
		each.busy = true
		each.next = now.Add(p.interval(now, number, each))
		go p.poll(number, each)
	}
}

// poll asks one upstream and hands the answer to the control goroutine. An
// upstream that does not answer reports nothing; the limiter allows for that.
func (p *poller) poll(number fleet.Number, each *polled) {
	s := p.scheduler
	load, err := p.fetch(each.address)
	s.loop.Post(func() {
		each.busy = false
		if err != nil {
			s.logger.Debug("upstream did not report its load", "upstream", number, "error", err)
			return
		}
		s.slots.Reported(s.timer.Now(), number, load)
	})
}

// report is the upstreams' own format.
type loadReport struct {
	Running   int     `json:"running"`
	Queued    int     `json:"queued"`
	CacheUsed float64 `json:"cache-used"`
	AtUnixMS  int64   `json:"at-unix-ms"`
	Draining  bool    `json:"draining"`
}

func (p *poller) fetch(address string) (inflight.Load, error) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", http.NoBody)
	if err != nil {
		return inflight.Load{}, eris.Wrap(err, "load request")
	}
	response, err := p.scheduler.client.Do(request)
	if err != nil {
		return inflight.Load{}, eris.Wrap(err, "ask for load")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLoadBytes))
	if err != nil {
		return inflight.Load{}, eris.Wrap(err, "read load")
	}
	p.count(request, response, len(body))
	if response.StatusCode != http.StatusOK {
		return inflight.Load{}, eris.Errorf("load answered with status %d", response.StatusCode)
	}
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return inflight.Load{}, eris.Wrap(err, "decode load")
	}
	return inflight.Load{
		Running: report.Running, Queued: report.Queued, CacheUsed: report.CacheUsed,
		At: time.UnixMilli(report.AtUnixMS), Draining: report.Draining,
	}, nil
}

// count counts a poll's bytes with its headers.
func (p *poller) count(request *http.Request, response *http.Response, body int) {
	if p.scheduler.metrics == nil {
		return
	}
	var sent, received lengthWriter
	_ = request.Write(&sent)
	_ = response.Header.Write(&received)
	const statusLine = len("HTTP/1.1 200 OK\r\n\r\n")
	p.scheduler.metrics.Control(metric.Sent, metric.Upstream, int(sent.Load()))
	p.scheduler.metrics.Control(metric.Received, metric.Upstream, int(received.Load())+statusLine+body)
}

// lengthWriter counts what is written to it.
type lengthWriter struct{ atomic.Int64 }

// Write counts p.
func (w *lengthWriter) Write(p []byte) (int, error) {
	w.Add(int64(len(p)))
	return len(p), nil
}
