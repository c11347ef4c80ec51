package home

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

func encodeAsk(id uint64, service fleet.ServiceID, d *turn.Request) *schema.TurnAsk {
	a := &schema.TurnAsk{
		Id: id, Service: string(service), Account: string(d.Account), Input: uint32(max(d.Input, 0)), Output: uint32(max(d.Output, 0)),
		TargetMs: schema.Millis(d.Target), PatienceMs: schema.Millis(d.Patience),
	}
	for _, b := range d.Prefixes {
		a.Beginnings = append(a.Beginnings, &schema.PromptBeginning{Hash: b.Hash, Tokens: uint32(max(b.Tokens, 0))})
	}
	for _, i := range d.Tried {
		a.Tried = append(a.Tried, turn.EncodeInstance(i))
	}
	return a
}

func decodeAsk(a *schema.TurnAsk) (fleet.ServiceID, turn.Request) {
	d := turn.Request{
		Account: fleet.AccountID(a.GetAccount()), Input: int(a.GetInput()), Output: int(a.GetOutput()),
		Target: schema.Duration(a.GetTargetMs()), Patience: schema.Duration(a.GetPatienceMs()),
	}
	for _, b := range a.GetBeginnings() {
		d.Prefixes = append(d.Prefixes, turn.Prefix{Hash: b.GetHash(), Tokens: int(b.GetTokens())})
	}
	for _, t := range a.GetTried() {
		d.Tried = append(d.Tried, turn.DecodeInstance(t))
	}
	return fleet.ServiceID(a.GetService()), d
}

func encodeGrant(t *turn.Ticket) *schema.TurnGrant {
	return &schema.TurnGrant{
		Upstream: registry.Encode(registry.Change{Upstream: t.Upstream()}), FetchFrom: t.FetchFrom(), Work: uint32(max(t.PendingPrefill(), 0)),
	}
}

func encodeRefusal(e *turn.RefusedError) *schema.TurnRefusal {
	return &schema.TurnRefusal{
		WaitMs: schema.Millis(e.Wait), WaitedMs: schema.Millis(e.Waited), RetryAfterMs: schema.Millis(e.RetryAfter), NoUpstream: e.NoUpstream,
		Held: e.Capped,
	}
}

func decodeRefusal(r *schema.TurnRefusal) *turn.RefusedError {
	return &turn.RefusedError{
		Wait: schema.Duration(r.GetWaitMs()), Waited: schema.Duration(r.GetWaitedMs()), RetryAfter: schema.Duration(r.GetRetryAfterMs()),
		NoUpstream: r.GetNoUpstream(), Capped: r.GetHeld(),
	}
}
