package experiment

import (
	"fmt"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/trace"
)

// replayTail is how long a replay goes on after the last arrival, so that what
// waited then gets its answer.
const replayTail = 2 * time.Minute

// SizeError says that a trace can't be replayed because of its size.
type SizeError struct {
	Field string
	Value int
	Most  int
}

// Error returns the field and its bound.
func (e *SizeError) Error() string {
	return fmt.Sprintf("the trace's %s is %d; a replay takes 1 to %d", e.Field, e.Value, e.Most)
}

// Replay plays a recorded trace with a policy: each request arrives when it
// did, at the router that it reached, and costs what it did. A request of which
// no cost is known, since it was refused, is taken to have a usual answer.
func Replay(header trace.Header, records []trace.Record, policy Policy) (Result, error) {
	const mostUpstreams = 1000
	f := header.Fleet
	switch {
	case f.Routers < 1 || f.Routers > MaxRouters:
		return Result{}, &SizeError{"fleet.routers", f.Routers, MaxRouters}
	case f.Models < 1 || f.Models > mostUpstreams:
		return Result{}, &SizeError{"fleet.models", f.Models, mostUpstreams}
	case f.Plain < 1 || f.Plain > mostUpstreams:
		return Result{}, &SizeError{"fleet.plain", f.Plain, mostUpstreams}
	}
	accounts, numbers := accountsOf(records)
	m := newModel(Deployment{
		Name: f.Name, Routers: f.Routers, Models: f.Models, Plain: f.Plain,
		Accounts: len(accounts), Delay: time.Duration(f.DelayMicroseconds) * time.Microsecond,
	}, policy, nil, 0)
	m.begin()
	m.measure.begin()
	var last time.Duration
	for _, record := range records {
		at := time.Duration(record.At) * time.Millisecond
		last = max(last, at)
		m.clock.after(at, func() { m.replay(record, numbers[record.Account]) })
	}
	duration := last + replayTail
	m.clock.runUntil(duration)
	result := m.result(duration)
	result.Load = "trace"
	for i := range result.Accounts {
		result.Accounts[i].Name = accounts[i]
	}
	return result, nil
}

// accountsOf returns the accounts of a trace in the order of their names.
func accountsOf(records []trace.Record) ([]fleet.AccountID, map[fleet.AccountID]int) {
	var accounts []fleet.AccountID
	for _, record := range records {
		accounts = append(accounts, record.Account)
	}
	slices.Sort(accounts)
	accounts = slices.Compact(accounts)
	numbers := make(map[fleet.AccountID]int, len(accounts))
	for i, account := range accounts {
		numbers[account] = i
	}
	return accounts, numbers
}

func (m *model) replay(record trace.Record, account int) {
	r := &request{
		account: account, arrived: m.clock.elapsed, router: record.Router % len(m.routers),
		deadline: m.clock.elapsed + time.Duration(record.Deadline)*time.Millisecond,
	}
	r.ended = func(reason refusal.Reason) { m.measure.ended(r, reason) }
	if record.Kind == fleet.Plain {
		r.service = plainService
		r.job.plain = max(time.Duration(record.Run)*time.Millisecond, time.Millisecond)
	} else {
		r.job.input, r.job.output = record.Input, record.Output
		if record.Output == 0 {
			r.job.output = int(usualOutput.mean)
		}
		r.job.prefix, r.job.prefixTokens = record.Prefix, record.PrefixTokens
	}
	m.send(r)
}
