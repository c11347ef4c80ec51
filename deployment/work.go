package deployment

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// hashID returns the hash that replaces an ID in reports. Two IDs of one service with the same
// hash share their figures, which is harmless and rarer than one in a million.
func hashID[K ~string](id K) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// serviceWork returns this router's load report for each service that has one.
func (s *State) serviceWork(now time.Time) []*schema.ServiceWork {
	var out []*schema.ServiceWork
	for id, pool := range s.Pools() {
		report := pool.Report(now)
		if len(report.Upstreams) == 0 && len(report.Accounts) == 0 {
			continue
		}
		out = append(out, encodeReport(id, report))
	}
	slices.SortFunc(out, func(a, b *schema.ServiceWork) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return out
}

func encodeReport(id fleet.ServiceID, report turn.Report) *schema.ServiceWork {
	w := &schema.ServiceWork{Service: hashID(id)}
	for key, load := range report.Upstreams {
		w.Upstreams = append(w.Upstreams, &schema.UpstreamWork{
			Upstream: uint32(key), Unread: uint32(max(load.PendingPrefill, 0)), InFlight: uint32(max(load.InFlight, 0)),
			Waiting: uint32(max(load.WaitingTokens, 0)), Read: load.NewPrefixes,
		})
	}
	for key, account := range report.Accounts {
		w.Accounts = append(w.Accounts, &schema.AccountService{
			Account: uint32(key), Tokens: uint32(account.Served), Waiting: uint32(max(account.WaitingTokens, 0)), Denied: uint32(account.Refused),
			Shed: uint32(account.Shed),
		})
	}
	slices.SortFunc(w.Upstreams, func(a, b *schema.UpstreamWork) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	slices.SortFunc(w.Accounts, func(a, b *schema.AccountService) int { return cmp.Compare(a.GetAccount(), b.GetAccount()) })
	return w
}

// observeServiceWork records another router's load report for a service.
func (s *State) observeServiceWork(from fleet.RouterID, w *schema.ServiceWork) {
	for id, pool := range s.Pools() {
		if hashID(id) == w.GetService() {
			pool.ApplyReport(time.Now(), from, decodeReport(w))
			return
		}
	}
}

func decodeReport(w *schema.ServiceWork) turn.Report {
	r := turn.Report{
		Upstreams: make(map[turn.Key]turn.Load, len(w.GetUpstreams())),
		Accounts:  make(map[turn.Key]turn.Usage, len(w.GetAccounts())),
	}
	for _, u := range w.GetUpstreams() {
		r.Upstreams[turn.Key(u.GetUpstream())] = turn.Load{
			PendingPrefill: int(u.GetUnread()), InFlight: int(u.GetInFlight()), WaitingTokens: int(u.GetWaiting()), NewPrefixes: u.GetRead(),
		}
	}
	for _, a := range w.GetAccounts() {
		r.Accounts[turn.Key(a.GetAccount())] = turn.Usage{
			Served: float64(a.GetTokens()), WaitingTokens: int(a.GetWaiting()), Refused: float64(a.GetDenied()), Shed: float64(a.GetShed()),
		}
	}
	return r
}

// knowledgeAfter returns the changes of the list of upstreams after a revision, or the whole list.
func (s *State) knowledgeAfter(after registry.Revision) *schema.Knowledge {
	answer := s.directory.After(after)
	out := &schema.Knowledge{
		UpstreamRevision: answer.Version.Number(), UpstreamKnown: answer.Known.Number(), UpstreamEra: proto.Uint32(uint32(answer.Known.Era())),
		WholeList: answer.Whole,
	}
	now := time.Now()
	for _, c := range answer.Changes {
		out.Upstreams = append(out.Upstreams, registry.Encode(now, c))
	}
	return out
}

// currentConfiguration returns the configuration in force.
func (s *State) currentConfiguration() route.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}
