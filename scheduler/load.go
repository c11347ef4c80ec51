package scheduler

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/answer"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/schema"
)

// Intervals and limits of polling upstreams for their load.
const (
	minPollInterval = time.Second
	// pollIntervalPerUpstream times the number of this dispatcher's upstreams is the
	// interval if it exceeds minPollInterval. One poll takes some 350 bytes with its
	// headers; at 26 upstreams that is 1 KB/s.
	pollIntervalPerUpstream = 350 * time.Millisecond
	// rampPollInterval applies for rampPollTime after an upstream first reaches its
	// limit. The limit grows by one step per report; at the usual interval it would
	// take ten seconds or more until the batch is full, while requests wait or
	// queue inside the engine.
	rampPollInterval = 250 * time.Millisecond
	rampPollTime     = 15 * time.Second
	pollTimeout      = time.Second
	// maxReportBytes limits the size of a load report; a usual one has about 100 bytes.
	maxReportBytes = 4096
)

// loadPoller polls this dispatcher's upstreams for their load.
type loadPoller struct {
	scheduler *Scheduler
	upstreams map[fleet.ShortID]*polledUpstream
	ctx       context.Context
	cancel    context.CancelFunc
}

type polledUpstream struct {
	address string
	nextAt  time.Time
	polling bool
	// rampUntil is set when the upstream first reaches its limit.
	rampUntil time.Time
}

func newLoadPoller(s *Scheduler) *loadPoller {
	p := &loadPoller{scheduler: s, upstreams: make(map[fleet.ShortID]*polledUpstream)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *loadPoller) close() { p.cancel() }

// setUpstreams replaces the upstreams to poll.
func (p *loadPoller) setUpstreams(owned []*schema.Upstream) {
	before := p.upstreams
	p.upstreams = make(map[fleet.ShortID]*polledUpstream, len(owned))
	for _, u := range owned {
		number := fleet.ShortID(u.GetNumber())
		polled := before[number]
		if polled == nil || polled.address != u.GetAddress() {
			polled = &polledUpstream{address: u.GetAddress()}
		}
		p.upstreams[number] = polled
	}
}

func (p *loadPoller) pollInterval(now time.Time, number fleet.ShortID, polled *polledUpstream) time.Duration {
	if polled.rampUntil.IsZero() && p.scheduler.dispatcher.IsFull(now, number) {
		polled.rampUntil = now.Add(rampPollTime)
	}
	if now.Before(polled.rampUntil) {
		return rampPollInterval
	}
	return max(minPollInterval, time.Duration(len(p.upstreams))*pollIntervalPerUpstream)
}

func (p *loadPoller) tick(now time.Time) {
	if p.scheduler.pollClient == nil {
		return
	}
	for number, polled := range p.upstreams {
		if polled.polling || now.Before(polled.nextAt) {
			continue
		}
		polled.polling = true
		polled.nextAt = now.Add(p.pollInterval(now, number, polled))
		go p.poll(number, polled)
	}
}

// poll polls one upstream and posts its report to the control goroutine. Without
// an answer there is no report; the limiter allows for that.
func (p *loadPoller) poll(number fleet.ShortID, polled *polledUpstream) {
	s := p.scheduler
	load, err := p.fetch(polled.address)
	s.loop.Post(func() {
		polled.polling = false
		if err != nil {
			s.logger.Debug("upstream did not report its load", "upstream", number, "error", err)
			return
		}
		s.dispatcher.UpdateLoad(s.timer.Now(), number, load)
	})
}

// loadReport is the JSON format of an upstream's load report.
type loadReport struct {
	Running   int     `json:"running"`
	Queued    int     `json:"queued"`
	CacheUsed float64 `json:"cache-used"`
	AtUnixMS  int64   `json:"at-unix-ms"`
	Draining  bool    `json:"draining"`
}

func (p *loadPoller) fetch(address string) (inflight.Load, error) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", http.NoBody)
	if err != nil {
		return inflight.Load{}, eris.Wrap(err, "create load request")
	}
	response, err := p.scheduler.pollClient.Do(request)
	if err != nil {
		return inflight.Load{}, eris.Wrap(err, "request load")
	}
	defer response.Body.Close()
	if err := answer.CheckHead(response); err != nil {
		return inflight.Load{}, eris.Wrap(err, "request load")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return inflight.Load{}, eris.Wrap(err, "read load report")
	}
	p.countBytes(request, response, len(body))
	if response.StatusCode != http.StatusOK {
		return inflight.Load{}, eris.Errorf("load request was answered with status %d", response.StatusCode)
	}
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return inflight.Load{}, eris.Wrap(err, "decode load report")
	}
	return inflight.Load{
		Running: report.Running, Queued: report.Queued, CacheUsed: report.CacheUsed,
		MeasuredAt: time.UnixMilli(report.AtUnixMS), Draining: report.Draining,
	}, nil
}

// countBytes adds a poll's bytes, including headers, to the metrics.
func (p *loadPoller) countBytes(request *http.Request, response *http.Response, body int) {
	if p.scheduler.metrics == nil {
		return
	}
	var sent, received byteCounter
	_ = request.Write(&sent)
	_ = response.Header.Write(&received)
	const statusLine = len("HTTP/1.1 200 OK\r\n\r\n")
	p.scheduler.metrics.CountControlMessage(metric.Sent, metric.Upstream, int(sent.Load()))
	p.scheduler.metrics.CountControlMessage(metric.Received, metric.Upstream, int(received.Load())+statusLine+body)
}

// byteCounter is an io.Writer that counts the bytes written to it.
type byteCounter struct{ atomic.Int64 }

// Write counts p.
func (w *byteCounter) Write(p []byte) (int, error) {
	w.Add(int64(len(p)))
	return len(p), nil
}
