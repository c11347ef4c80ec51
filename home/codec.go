package home

import (
	"time"

	"nutmeglock.example/nutmeglock/avoidance"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

func encodeAsk(id uint64, service fleet.ServiceID, r *turn.Request, avoided []turn.AvoidedUpstream) *schema.TurnAsk {
	a := &schema.TurnAsk{
		Id: id, Service: string(service), Account: string(r.Account), Input: uint32(max(r.Input, 0)), Output: uint32(max(r.Output, 0)),
		TargetMs: schema.Millis(r.Target), PatienceMs: schema.Millis(r.Patience), DataCenter: string(r.DataCenter),
		SoftwareVersion: string(r.Software), LeftMs: schema.Millis(r.Left), AgeMs: schema.Millis(r.Age),
	}
	if r.LastHolder != (turn.Instance{}) {
		a.LastHolder = turn.EncodeInstance(r.LastHolder)
	}
	for _, dataCenter := range r.DataCenters {
		a.DataCenters = append(a.DataCenters, string(dataCenter))
	}
	for _, p := range r.Prefixes {
		a.Beginnings = append(a.Beginnings, &schema.PromptBeginning{Hash: p.Hash, Tokens: uint32(max(p.Tokens, 0))})
	}
	for _, i := range r.Tried {
		a.Tried = append(a.Tried, turn.EncodeInstance(i))
	}
	now := time.Now()
	for _, u := range avoided {
		left := schema.Millis(u.Term.Left(now))
		if u.Term.Reason == avoidance.Backoff {
			left = max(left, 1)
		}
		a.Avoided = append(a.Avoided, &schema.AvoidedUpstream{Upstream: turn.EncodeInstance(u.Instance), ForMs: left})
	}
	return a
}

func decodeAvoided(now time.Time, in []*schema.AvoidedUpstream) *avoidance.Set[turn.Instance] {
	if len(in) == 0 {
		return nil
	}
	out := &avoidance.Set[turn.Instance]{}
	for _, u := range in {
		instance := turn.DecodeInstance(u.GetUpstream())
		if u.GetForMs() == 0 {
			out.RecordLeaving(now, instance)
			continue
		}
		out.RecordBackoff(now, instance, schema.Duration(u.GetForMs()))
	}
	return out
}

func decodeAsk(a *schema.TurnAsk) (fleet.ServiceID, turn.Request) {
	r := turn.Request{
		Account: fleet.AccountID(a.GetAccount()), Input: int(a.GetInput()), Output: int(a.GetOutput()),
		Target: schema.Duration(a.GetTargetMs()), Patience: schema.Duration(a.GetPatienceMs()),
		DataCenter: fleet.DataCenterID(a.GetDataCenter()), Software: fleet.SoftwareVersion(a.GetSoftwareVersion()),
		Avoid: decodeAvoided(time.Now(), a.GetAvoided()), LastHolder: turn.DecodeInstance(a.GetLastHolder()),
		Left: schema.Duration(a.GetLeftMs()), Age: schema.Duration(a.GetAgeMs()),
	}
	for _, p := range a.GetBeginnings() {
		r.Prefixes = append(r.Prefixes, turn.Prefix{Hash: p.GetHash(), Tokens: int(p.GetTokens())})
	}
	for _, dataCenter := range a.GetDataCenters() {
		r.DataCenters = append(r.DataCenters, fleet.DataCenterID(dataCenter))
	}
	for _, t := range a.GetTried() {
		r.Tried = append(r.Tried, turn.DecodeInstance(t))
	}
	return fleet.ServiceID(a.GetService()), r
}

func encodeGrant(t *turn.Ticket) *schema.TurnGrant {
	return &schema.TurnGrant{
		Upstream: registry.Encode(time.Now(), registry.Change{Upstream: t.Upstream()}), FetchFrom: t.FetchFrom(), Work: uint32(max(t.PendingPrefill(), 0)),
	}
}

func encodeRefusal(e *turn.RefusedError) *schema.TurnRefusal {
	return &schema.TurnRefusal{
		WaitMs: schema.Millis(e.Wait), WaitedMs: schema.Millis(e.Waited), RetryAfterMs: schema.Millis(e.RetryAfter), NoUpstream: e.NoUpstream,
		Held: e.Capped, Lack: string(e.Lack), NoSoftware: e.NoSoftware, Reserved: e.Reserved,
	}
}

func decodeRefusal(r *schema.TurnRefusal) *turn.RefusedError {
	return &turn.RefusedError{
		Wait: schema.Duration(r.GetWaitMs()), Waited: schema.Duration(r.GetWaitedMs()), RetryAfter: schema.Duration(r.GetRetryAfterMs()),
		NoUpstream: r.GetNoUpstream(), NoSoftware: r.GetNoSoftware(), Capped: r.GetHeld(), Lack: turn.ParseLack(r.GetLack()), Reserved: r.GetReserved(),
	}
}
