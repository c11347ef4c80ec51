package scheduler

import (
	"maps"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/keeper"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

// reportThreshold is the change in an account's service and half of what is
// outstanding, in weighted tokens, after which its keeper is told. It is less
// than half of a usual request, so that each start and end is told; the
// fairness bound grows by it once for each other dispatcher. In the
// virtual-time model at six routers the gap is 3.9 times the largest request
// at 1000 and 2.4 times at 100, and control rises from 2.3 to 2.8 KB/s.
const reportThreshold fleet.Tokens = 100

// sparedRate is the requests per second at this router up to which each start
// and end is told. Above it the threshold grows in proportion, so that the
// exchange stays at about half of the control allowance.
const sparedRate = 15.0

// threshold returns the report threshold at a rate of requests.
func threshold(rate float64) fleet.Tokens {
	return fleet.Tokens(float64(reportThreshold) * max(1, rate/sparedRate))
}

// exchange is this dispatcher's side of summing service across the fleet.
type exchange struct {
	// keepers are the keepers that were told of each account, and their incarnation.
	keepers map[keeper.Key]told
}

type told struct {
	router      fleet.RouterID
	incarnation fleet.Incarnation
}

func newExchange() exchange { return exchange{keepers: make(map[keeper.Key]told)} }

func (s *Scheduler) toldOf(key keeper.Key) told {
	router := s.assigned.keeperOf(key.Service, key.Account)
	if r := s.routers[router]; r != nil {
		return told{router, r.incarnation}
	}
	return told{router, s.incarnation}
}

// reassign takes note of accounts that have another keeper now, or one that
// started anew: it does not know what the former one did.
func (x *exchange) reassign(s *Scheduler) {
	for key, before := range x.keepers {
		now := s.toldOf(key)
		if now == before {
			continue
		}
		x.keepers[key] = now
		s.slots.Reassigned(key.Service, key.Account)
	}
}

// tick reports to keepers.
func (x *exchange) tick(s *Scheduler, _ time.Time) {
	if s.sharing == StaticShare || s.view == nil || len(s.assigned.live) == 0 {
		return
	}
	for service, reports := range s.slots.Reports(threshold(s.entry.rate)) {
		for _, report := range reports {
			key := keeper.Key{Service: service, Account: report.Key}
			to := s.toldOf(key)
			x.keepers[key] = to
			out := s.outbox.to(to.router)
			out.Reports = append(out.Reports, &schema.ServiceReport{
				Service: uint32(service), Account: uint32(report.Key),
				Cumulative: int64(report.Cumulative), Floor: int64(report.Floor),
				Outstanding: clampUint32(report.Outstanding),
			})
		}
	}
}

// report takes another dispatcher's report as keeper, and answers.
func (x *exchange) report(s *Scheduler, now time.Time, from fleet.RouterID, incarnation fleet.Incarnation, message *schema.ServiceReport) {
	key := keeper.Key{Service: fleet.Number(message.GetService()), Account: fleet.Number(message.GetAccount())}
	total := s.keeper.Report(now, from, incarnation, share.Report[keeper.Key]{
		Key: key, Cumulative: fleet.Tokens(message.GetCumulative()), Floor: fleet.Tokens(message.GetFloor()),
		Outstanding: fleet.Tokens(message.GetOutstanding()),
	})
	out := s.outbox.to(from)
	out.Totals = append(out.Totals, &schema.ServiceTotal{
		Service: message.GetService(), Account: message.GetAccount(),
		Total: int64(total.Sum), Covered: int64(total.Covered),
		Outstanding: clampUint32(total.Outstanding),
	})
}

// total takes a keeper's answer.
func (x *exchange) total(s *Scheduler, message *schema.ServiceTotal) {
	s.slots.Observe(fleet.Number(message.GetService()), fleet.Number(message.GetAccount()), share.Total{
		Sum: fleet.Tokens(message.GetTotal()), Covered: fleet.Tokens(message.GetCovered()),
		Outstanding: fleet.Tokens(message.GetOutstanding()),
	})
}

// forget drops an account that was withdrawn.
func (x *exchange) forget(account fleet.Number) {
	maps.DeleteFunc(x.keepers, func(key keeper.Key, _ told) bool { return key.Account == account })
}
