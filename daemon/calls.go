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

// callsExtension runs validated requests, with attempts, retries, claims and
// stream resumption.
type callsExtension struct{}

func (callsExtension) Priority() Priority { return PriorityCalls }

// claimBatchDelay is how long the first claim of a batch waits for others. It is
// short compared to a round trip to the table, and callers don't notice it.
const claimBatchDelay = 5 * time.Millisecond

func (callsExtension) Extend(p *Parts) error {
	tokens, err := resume.New(p.Settings.GetFleetKey())
	if err != nil {
		return err
	}
	table := &claim.ForwardingTable{
		Table: p.Platform, Self: p.Self, Peers: p.Peers,
		Committer: &claim.GroupCommitter{Table: p.Platform, Delay: claimBatchDelay},
	}
	p.Peers.OnBatch(table.Receive)
	store := &claim.Store{Table: table, Objects: p.Platform, Router: p.Self, Timer: p.Timer}
	p.Estimator = &estimate.Estimator{}
	p.Runner = &call.Runner{
		Source: p.SlotSource, Retry: &retry.Budget{}, Client: &attempt.Client{},
		Claims: store, Tokens: tokens, Timer: p.Timer, Metrics: p.Metrics,
		Observers: call.Observers{estimator{p.Estimator}},
	}
	p.AddActor("claims", func(ctx context.Context) error {
		stop := (&claim.Sweeper{Store: store}).Start(p.Timer)
		defer stop()
		<-ctx.Done()
		return ctx.Err()
	})
	return nil
}
