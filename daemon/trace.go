package daemon

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/trace"
)

// traceExtension writes a trace of ended requests to the trace file of the settings.
type traceExtension struct{}

func (traceExtension) Priority() Priority { return PriorityTrace }

// traceFileMode restricts the file to its owner, because it contains the names
// of client accounts.
const traceFileMode = 0o600

// Extend opens and truncates the trace file. It fails if it can't, so that a
// wrong path is detected at the start and not after a day without a trace.
func (traceExtension) Extend(p *Parts) error {
	name := p.Settings.GetTraceFile()
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, traceFileMode) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "opening the trace-file of the settings")
	}
	t := &tracer{
		parts: p, file: file, recorder: trace.NewRecorder(file), started: p.Timer.Now(), headerReady: make(chan struct{}),
		incomplete: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "nutmeglock_trace_incomplete_total",
			Help: "Ended requests left out of the trace, since what they cost is not known.",
		}),
	}
	p.Registry.MustRegister(t.incomplete, prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "nutmeglock_trace_lost_total",
		Help: "Ended requests that the trace lost, because its file did not take them in time.",
	}, func() float64 { return float64(t.recorder.Dropped()) }))
	p.Runner.Observers = append(p.Runner.Observers, t)
	p.AddActor("trace", t.run)
	return nil
}

// tracer writes reports of ended requests as trace records.
type tracer struct {
	parts      *Parts
	started    time.Time
	file       *os.File
	recorder   *trace.Recorder
	incomplete prometheus.Counter

	headerOnce  sync.Once
	headerReady chan struct{}
	// header and routerIndex are set before headerReady is closed, at the end of
	// the first request. Earlier, the release note and the other routers may be
	// unknown.
	header      trace.Header
	routerIndex int
}

// Ended implements call.Observer.
func (t *tracer) Ended(report call.Report) {
	t.headerOnce.Do(t.setHeader)
	record := t.newRecord(report)
	if record.Check() != nil {
		t.incomplete.Inc()
		return
	}
	t.recorder.Record(record)
}

// setHeader fills in the trace header and the index of this router.
func (t *tracer) setHeader() {
	routers := append(t.parts.Peers.Routers(), t.parts.Self)
	slices.Sort(routers)
	t.routerIndex = slices.Index(routers, t.parts.Self)
	t.header = trace.Header{
		Origin: "recorded by router " + string(t.parts.Self), StartTime: t.started.UTC(),
		Fleet: trace.Fleet{Routers: len(routers)},
	}
	if view := t.parts.Notes.Current(); view != nil {
		for _, service := range view.State().GetServices() {
			t.countUpstreams(service, len(view.Upstreams(fleet.ServiceID(service.GetId()))))
		}
	}
	close(t.headerReady)
}

// countUpstreams adds a service's upstreams to the trace header.
func (t *tracer) countUpstreams(service *schema.Service, upstreams int) {
	if fleet.ServiceKind(service.GetKind()) == fleet.Model {
		t.header.Fleet.ModelUpstreams += upstreams
	} else {
		t.header.Fleet.PlainUpstreams += upstreams
	}
}

func (t *tracer) newRecord(report call.Report) trace.Record {
	record := trace.Record{
		ArrivalMs: report.Arrived.Sub(t.started).Milliseconds(), Account: report.Account, Service: report.Service,
		Kind: fleet.Plain, RouterIndex: t.routerIndex, NonIdempotent: report.NonIdempotent,
		TimeoutMs: report.Timeout.Milliseconds(), Outcome: trace.Answered, QueueMs: report.QueueTime.Milliseconds(),
		FirstTokenMs: report.TimeToFirstToken.Milliseconds(), TotalMs: report.TotalTime.Milliseconds(),
	}
	if report.RefusalReason != "" {
		record.Outcome = string(report.RefusalReason)
	}
	if report.IsModel {
		record.Kind = fleet.Model
		record.InputTokens, record.OutputTokens = int(report.InputTokens), int(report.OutputTokens)
	} else {
		record.RunMs = report.UpstreamTime.Milliseconds()
	}
	return record
}

// run writes the trace until ctx ends, which is after the last request. An error
// of the file does not end the router: later records count as lost.
func (t *tracer) run(ctx context.Context) error {
	select {
	case <-t.headerReady:
	case <-ctx.Done():
		t.headerOnce.Do(t.setHeader)
	}
	if err := t.recorder.Run(ctx, t.header); err != nil {
		t.parts.Log.Error("writing the trace failed", "error", err)
	}
	if err := t.file.Close(); err != nil {
		t.parts.Log.Error("closing the trace failed", "error", err)
	}
	<-ctx.Done()
	return nil
}
