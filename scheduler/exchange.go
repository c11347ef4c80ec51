package scheduler

import (
	"maps"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/keeper"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/share"
)

// reportThreshold is the change of an account's service plus half of its
// outstanding estimates, in weighted tokens, that is reported to its keeper. It
// is less than half of a usual request, so that each start and end is reported;
// it adds to the fairness bound once per other dispatcher. In the virtual-time
// model with six routers the gap is 3.9 times the largest request at 1000 and
// 2.4 times at 100, while control traffic rises from 2.3 to 2.8 KB/s.
const reportThreshold fleet.Tokens = 100

// fullReportRate is the requests per second at this router up to which each start
// and end is reported. Above it the threshold grows in proportion, which keeps
// the reports at about half of the bandwidth allowed for control messages.
const fullReportRate = 15.0

// reportThresholdAt returns the report threshold for a rate in requests per second.
func reportThresholdAt(rate float64) fleet.Tokens {
	return fleet.Tokens(float64(reportThreshold) * max(1, rate/fullReportRate))
}

// serviceExchange reports this dispatcher's service to the accounts' keepers and
// applies their totals.
type serviceExchange struct {
	// keepers holds the keeper that each account was last reported to.
	keepers map[keeper.Key]keeperInstance
}

type keeperInstance struct {
	router      fleet.RouterID
	incarnation fleet.Incarnation
}

func newServiceExchange() serviceExchange {
	return serviceExchange{keepers: make(map[keeper.Key]keeperInstance)}
}

func (s *Scheduler) keeperInstanceOf(key keeper.Key) keeperInstance {
	router := s.assignment.keeperOf(key.Service, key.Account)
	if r := s.routers[router]; r != nil {
		return keeperInstance{router, r.incarnation}
	}
	return keeperInstance{router, s.incarnation}
}

// updateKeepers marks the accounts whose keeper changed or restarted, since the
// new one does not know the former reports.
func (x *serviceExchange) updateKeepers(s *Scheduler) {
	for key, former := range x.keepers {
		current := s.keeperInstanceOf(key)
		if current == former {
			continue
		}
		x.keepers[key] = current
		s.dispatcher.MarkReassigned(key.Service, key.Account)
	}
}

// sendReports sends the due reports to keepers.
func (x *serviceExchange) sendReports(s *Scheduler, _ time.Time) {
	if s.sharing == StaticShare || s.view == nil || len(s.assignment.liveRouters) == 0 {
		return
	}
	for service, reports := range s.dispatcher.Reports(reportThresholdAt(s.local.startRate)) {
		for _, report := range reports {
			key := keeper.Key{Service: service, Account: report.Key}
			to := s.keeperInstanceOf(key)
			x.keepers[key] = to
			out := s.outbox.batchTo(to.router)
			out.Reports = append(out.Reports, &schema.ServiceReport{
				Service: uint32(service), Account: uint32(report.Key),
				Cumulative: int64(report.Cumulative), Floor: int64(report.Floor),
				Outstanding: clampUint32(report.Outstanding),
			})
		}
	}
}

// handleReport passes a dispatcher's report to this router's keeper and replies with the total.
func (x *serviceExchange) handleReport(s *Scheduler, now time.Time, from fleet.RouterID, incarnation fleet.Incarnation, message *schema.ServiceReport) {
	key := keeper.Key{Service: fleet.ShortID(message.GetService()), Account: fleet.ShortID(message.GetAccount())}
	total := s.keeper.Report(now, from, incarnation, share.Report[keeper.Key]{
		Key: key, Cumulative: fleet.Tokens(message.GetCumulative()), Floor: fleet.Tokens(message.GetFloor()),
		Outstanding: fleet.Tokens(message.GetOutstanding()),
	})
	out := s.outbox.batchTo(from)
	out.Totals = append(out.Totals, &schema.ServiceTotal{
		Service: message.GetService(), Account: message.GetAccount(),
		Total: int64(total.Sum), Covered: int64(total.OwnReported),
		Outstanding: clampUint32(total.Outstanding),
	})
}

// handleTotal applies a keeper's total.
func (x *serviceExchange) handleTotal(s *Scheduler, message *schema.ServiceTotal) {
	s.dispatcher.Observe(fleet.ShortID(message.GetService()), fleet.ShortID(message.GetAccount()), share.Total{
		Sum: fleet.Tokens(message.GetTotal()), OwnReported: fleet.Tokens(message.GetCovered()),
		Outstanding: fleet.Tokens(message.GetOutstanding()),
	})
}

// forget removes a withdrawn account.
func (x *serviceExchange) forget(account fleet.ShortID) {
	maps.DeleteFunc(x.keepers, func(key keeper.Key, _ keeperInstance) bool { return key.Account == account })
}
