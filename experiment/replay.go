package experiment

import (
	"fmt"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/trace"
)

// replayTail is how long a replay continues after the last arrival, so that
// waiting requests are answered.
const replayTail = 2 * time.Minute

// SizeError is the error for a trace of a fleet that is too large or too small
// to be replayed.
type SizeError struct {
	Field string
	Value int
	Max   int
}

// Error names the field and its bounds.
func (e *SizeError) Error() string {
	return fmt.Sprintf("the trace's %s is %d; a replay takes 1 to %d", e.Field, e.Value, e.Max)
}

// Replay simulates a recorded trace with a policy. Each request has its recorded
// arrival time, router and cost. A request without a recorded answer, because
// it was refused, is given an answer of usual length.
func Replay(header trace.Header, records []trace.Record, policy Policy) (Result, error) {
	const maxUpstreams = 1000
	f := header.Fleet
	switch {
	case f.Routers < 1 || f.Routers > MaxRouters:
		return Result{}, &SizeError{"fleet.routers", f.Routers, MaxRouters}
	case f.ModelUpstreams < 1 || f.ModelUpstreams > maxUpstreams:
		return Result{}, &SizeError{"fleet.models", f.ModelUpstreams, maxUpstreams}
	case f.PlainUpstreams < 1 || f.PlainUpstreams > maxUpstreams:
		return Result{}, &SizeError{"fleet.plain", f.PlainUpstreams, maxUpstreams}
	}
	accounts, indexes := accountsOf(records)
	sim := newSimulation(Deployment{
		Name: f.Name, Routers: f.Routers, Models: f.ModelUpstreams, Plain: f.PlainUpstreams,
		Accounts: len(accounts), Delay: time.Duration(f.OneWayDelayMicroseconds) * time.Microsecond,
	}, policy, nil, 0)
	sim.start()
	sim.metrics.start()
	var last time.Duration
	for _, record := range records {
		at := time.Duration(record.ArrivalMs) * time.Millisecond
		last = max(last, at)
		sim.clock.runAfter(at, func() { sim.replayRecord(record, indexes[record.Account]) })
	}
	duration := last + replayTail
	sim.clock.runUntil(duration)
	result := sim.result(duration)
	result.Load = "trace"
	for i := range result.Accounts {
		result.Accounts[i].Name = accounts[i]
	}
	return result, nil
}

// accountsOf returns the accounts of a trace, sorted, and the index of each.
func accountsOf(records []trace.Record) ([]fleet.AccountID, map[fleet.AccountID]int) {
	var accounts []fleet.AccountID
	for _, record := range records {
		accounts = append(accounts, record.Account)
	}
	slices.Sort(accounts)
	accounts = slices.Compact(accounts)
	indexes := make(map[fleet.AccountID]int, len(accounts))
	for i, account := range accounts {
		indexes[account] = i
	}
	return accounts, indexes
}

// replayRecord sends the request of a trace record.
func (sim *simulation) replayRecord(record trace.Record, account int) {
	r := &request{
		account: account, arrived: sim.clock.elapsed, router: record.RouterIndex % len(sim.routers),
		deadline: sim.clock.elapsed + time.Duration(record.TimeoutMs)*time.Millisecond,
	}
	r.onEnd = func(reason refusal.Reason) { sim.metrics.recordEnd(r, reason) }
	if record.Kind == fleet.Plain {
		r.service = plainService
		r.job.plainDuration = max(time.Duration(record.RunMs)*time.Millisecond, time.Millisecond)
	} else {
		r.job.inputTokens, r.job.outputTokens = record.InputTokens, record.OutputTokens
		if record.OutputTokens == 0 {
			r.job.outputTokens = int(usualOutput.mean)
		}
		r.job.prefix, r.job.prefixTokens = record.PrefixID, record.PrefixTokens
	}
	sim.send(r)
}
