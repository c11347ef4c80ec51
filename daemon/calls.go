package daemon

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/attempt"
	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/claim"
	"nutmeglock.example/nutmeglock/estimate"
	"nutmeglock.example/nutmeglock/resume"
	"nutmeglock.example/nutmeglock/retry"
)

// callsExtension runs accepted requests: attempts, retries, claims, resumption.
type callsExtension struct{}

func (callsExtension) Priority() Priority { return PriorityCalls }

// groupDelay is how long the first claim of a group waits for others. It is
// small beside a round trip to the table, and below what a caller notices.
const groupDelay = 5 * time.Millisecond

func (callsExtension) Extend(p *Parts) error {
	tokens, err := resume.New(p.Settings.GetFleetKey())
	if err != nil {
		return err
	}
	collected := &claim.Collected{
		Table: p.Platform, Self: p.Self, Peers: p.Peers,
		Group: &claim.Group{Table: p.Platform, Delay: groupDelay},
	}
	p.Peers.OnBatch(collected.Receive)
	store := &claim.Store{Table: collected, Objects: p.Platform, Router: p.Self, Timer: p.Timer}
	p.Estimates = &estimate.Estimator{}
	p.Runner = &call.Runner{
		Source: p.Source, Retry: &retry.Budget{}, Client: &attempt.Client{},
		Claims: store, Tokens: tokens, Timer: p.Timer, Metrics: p.Metrics,
		Observers: call.Observers{estimator{p.Estimates}},
	}
	p.Actor("claims", func(ctx context.Context) error {
		stop := (&claim.Sweeper{Store: store}).Start(p.Timer)
		defer stop()
		<-ctx.Done()
		return ctx.Err()
	})
	return nil
}
