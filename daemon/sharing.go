package daemon

import (
	"context"
	"net/http"
	"time"

	"nutmeglock.example/nutmeglock/admission"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/scheduler"
	"nutmeglock.example/nutmeglock/settings"
	"nutmeglock.example/nutmeglock/share"
)

// The ways to share capacity, as the settings name them. Those besides fair
// are baselines to measure against.
const (
	sharingFirstCome = "fcfs"
	sharingStatic    = "static-share"
)

// pollTimeout bounds one poll of an upstream's load report.
const pollTimeout = 2 * time.Second

// idlePoll outlives the pause between two polls of an upstream, so that a poll
// opens no connection of its own.
const idlePoll = time.Minute

// newPollClient returns the client that asks upstreams for their load. Unlike
// the default one it ignores the environment's proxy, which would answer in
// the place of an upstream that is gone.
func newPollClient() *http.Client {
	return &http.Client{
		Timeout:   pollTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idlePoll},
	}
}

// sharingExtension decides which waiting request starts next, and where.
type sharingExtension struct{}

func (sharingExtension) Priority() Priority { return PrioritySharing }

func (sharingExtension) Extend(p *Parts) error {
	s := newScheduler(p)
	p.Source = s
	p.State = &state{parts: p, scheduler: s}
	p.Actor("scheduler", s.Run)
	p.OnStop(PrioritySharing, "leave the dispatchers", func(context.Context) { s.Leave() })
	return nil
}

func newScheduler(p *Parts) *scheduler.Scheduler {
	switch settings.Sharing(p.Settings) {
	case sharingFirstCome:
		options := schedulerOptions[*share.FirstCome[fleet.Number]](p)
		options.Order = func() *share.FirstCome[fleet.Number] { return &share.FirstCome[fleet.Number]{} }
		return scheduler.New(options)
	case sharingStatic:
		options := fairOptions(p)
		options.Sharing = scheduler.StaticShare
		return scheduler.New(options)
	default:
		return scheduler.New(fairOptions(p))
	}
}

func fairOptions(p *Parts) scheduler.Options[*share.Fair[fleet.Number], *inflight.Adaptive, placement.Affinity] {
	options := schedulerOptions[*share.Fair[fleet.Number]](p)
	options.Order = func() *share.Fair[fleet.Number] { return &share.Fair[fleet.Number]{} }
	return options
}

func schedulerOptions[O share.Order[fleet.Number]](p *Parts) scheduler.Options[O, *inflight.Adaptive, placement.Affinity] {
	return scheduler.Options[O, *inflight.Adaptive, placement.Affinity]{
		Self: p.Self, Incarnation: p.Incarnation, Notes: p.Notes, Peers: p.Peers, VMs: p.Platform,
		Timer: p.Timer, Metrics: p.Metrics, Logger: p.Log,
		Client:          newPollClient(),
		Limiter:         func(slots int) *inflight.Adaptive { return &inflight.Adaptive{Max: slots} },
		Admission:       admission.Bounded{},
		MaxWaiting:      settings.MaxWaiting(p.Settings),
		MaxWaitingTotal: settings.MaxWaitingTotal(p.Settings),
		Warmup:          true,
	}
}
