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

// Values of the sharing setting other than the default, fair. They are baselines
// for measurements.
const (
	sharingFirstCome = "fcfs"
	sharingStatic    = "static-share"
)

// pollTimeout limits one request for an upstream's load report.
const pollTimeout = 2 * time.Second

// pollIdleTimeout exceeds the interval between two polls of an upstream, so that
// polls reuse the connection.
const pollIdleTimeout = time.Minute

// maxPollHeaderBytes bounds the header of a load report.
const maxPollHeaderBytes = 16 << 10

// newPollClient returns the HTTP client for load reports of upstreams. Unlike
// the default client it ignores proxies from the environment, because a proxy
// would answer for an upstream that is down.
func newPollClient() *http.Client {
	return &http.Client{
		Timeout:   pollTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: pollIdleTimeout, MaxResponseHeaderBytes: maxPollHeaderBytes},
	}
}

// sharingExtension decides which waiting request runs next, and at which upstream.
type sharingExtension struct{}

func (sharingExtension) Priority() Priority { return PrioritySharing }

func (sharingExtension) Extend(p *Parts) error {
	s := newScheduler(p)
	p.SlotSource = s
	p.State = &stateReporter{parts: p, scheduler: s}
	p.AddActor("scheduler", s.Run)
	p.OnStop(PrioritySharing, "hand over dispatching", func(context.Context) { s.Leave() })
	return nil
}

func newScheduler(p *Parts) *scheduler.Scheduler {
	switch settings.Sharing(p.Settings) {
	case sharingFirstCome:
		options := schedulerOptions[*share.FirstCome[fleet.ShortID]](p)
		options.SharePolicy = func() *share.FirstCome[fleet.ShortID] { return &share.FirstCome[fleet.ShortID]{} }
		return scheduler.New(options)
	case sharingStatic:
		options := fairOptions(p)
		options.Sharing = scheduler.StaticShare
		return scheduler.New(options)
	default:
		return scheduler.New(fairOptions(p))
	}
}

func fairOptions(p *Parts) scheduler.Options[*share.Fair[fleet.ShortID], *inflight.Adaptive, placement.CacheAffinity] {
	options := schedulerOptions[*share.Fair[fleet.ShortID]](p)
	options.SharePolicy = func() *share.Fair[fleet.ShortID] { return &share.Fair[fleet.ShortID]{} }
	return options
}

func schedulerOptions[O share.Policy[fleet.ShortID]](p *Parts) scheduler.Options[O, *inflight.Adaptive, placement.CacheAffinity] {
	return scheduler.Options[O, *inflight.Adaptive, placement.CacheAffinity]{
		Self: p.Self, Incarnation: p.Incarnation, Notes: p.Notes, Peers: p.Peers, VMs: p.Platform,
		Timer: p.Timer, Metrics: p.Metrics, Logger: p.Log,
		PollClient:      newPollClient(),
		Limiter:         func(slots int) *inflight.Adaptive { return &inflight.Adaptive{Max: slots} },
		Admission:       admission.Bounded{},
		MaxWaiting:      settings.MaxWaiting(p.Settings),
		MaxWaitingTotal: settings.MaxWaitingTotal(p.Settings),
		Warmup:          true,
	}
}
