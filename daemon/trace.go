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

// traceExtension records a trace into the file that the settings name.
type traceExtension struct{}

func (traceExtension) Priority() Priority { return PriorityTrace }

// traceMode lets the file be read by its owner alone: it names client accounts.
const traceMode = 0o600

// Extend opens the file, which loses what it held, and fails when it can't. A
// router that noticed only later would have nothing to show of the day that
// was to be recorded.
func (traceExtension) Extend(p *Parts) error {
	name := p.Settings.GetTraceFile()
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, traceMode) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "opening the settings' trace-file")
	}
	t := &tracer{
		parts: p, file: file, recorder: trace.NewRecorder(file), started: p.Timer.Now(), first: make(chan struct{}),
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
	p.Actor("trace", t.run)
	return nil
}

// tracer turns reports into records.
type tracer struct {
	parts      *Parts
	started    time.Time
	file       *os.File
	recorder   *trace.Recorder
	incomplete prometheus.Counter

	once  sync.Once
	first chan struct{}
	// header and router are set when first is closed. Before the first request
	// the release note and the other routers may not be known.
	header trace.Header
	router int
}

// Ended records one request.
func (t *tracer) Ended(report call.Report) {
	t.once.Do(t.begin)
	record := t.record(report)
	if record.Check() != nil {
		t.incomplete.Inc()
		return
	}
	t.recorder.Record(record)
}

func (t *tracer) begin() {
	routers := append(t.parts.Peers.Routers(), t.parts.Self)
	slices.Sort(routers)
	t.router = slices.Index(routers, t.parts.Self)
	t.header = trace.Header{
		About: "recorded by router " + string(t.parts.Self), Begun: t.started.UTC(),
		Fleet: trace.Fleet{Routers: len(routers)},
	}
	if view := t.parts.Notes.Current(); view != nil {
		for _, service := range view.State().GetServices() {
			t.count(service, len(view.Upstreams(fleet.ServiceID(service.GetId()))))
		}
	}
	close(t.first)
}

func (t *tracer) count(service *schema.Service, upstreams int) {
	if fleet.Kind(service.GetKind()) == fleet.Model {
		t.header.Fleet.Models += upstreams
	} else {
		t.header.Fleet.Plain += upstreams
	}
}

func (t *tracer) record(report call.Report) trace.Record {
	record := trace.Record{
		At: report.Arrived.Sub(t.started).Milliseconds(), Account: report.Account, Service: report.Service,
		Kind: fleet.Plain, Router: t.router, NonIdempotent: report.NonIdempotent,
		Deadline: report.Deadline.Milliseconds(), Outcome: trace.Answered, Queue: report.Queue.Milliseconds(),
		FirstToken: report.FirstToken.Milliseconds(), Total: report.Total.Milliseconds(),
	}
	if report.Refused != "" {
		record.Outcome = string(report.Refused)
	}
	if report.Model {
		record.Kind = fleet.Model
		record.Input, record.Output = int(report.Input), int(report.Output)
	} else {
		record.Run = report.Run.Milliseconds()
	}
	return record
}

// run writes the trace until ctx ends, when the last request has. A file that
// takes no more is no reason to end the router: its records count as lost.
func (t *tracer) run(ctx context.Context) error {
	select {
	case <-t.first:
	case <-ctx.Done():
		t.once.Do(t.begin)
	}
	if err := t.recorder.Run(ctx, t.header); err != nil {
		t.parts.Log.Error("the trace ends here", "error", err)
	}
	if err := t.file.Close(); err != nil {
		t.parts.Log.Error("closing the trace", "error", err)
	}
	<-ctx.Done()
	return nil
}
