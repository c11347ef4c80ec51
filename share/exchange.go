package share

import "nutmeglock.example/nutmeglock/fleet"

// Reports returns the accounts whose load changed by more than threshold since they were
// last returned, in the order of their first change since then, and those that were
// reassigned. It first limits the lead of the account with the most service.
func (f *Fair[K]) Reports(threshold fleet.Tokens) []Report[K] {
	f.limitLead()
	var reports []Report[K]
	unreported := f.changed[:0]
	for _, a := range f.changed {
		if !a.isChanged {
			continue
		}
		change := a.load() - a.reportedLoad
		if !a.mustReport && max(change, -change) <= threshold {
			unreported = append(unreported, a)
			continue
		}
		reports = append(reports, a.report())
	}
	clear(f.changed[len(unreported):])
	f.changed = unreported
	return reports
}

func (a *account[K]) report() Report[K] {
	a.reportedLoad = a.load()
	a.isChanged = false
	a.mustReport = false
	report := Report[K]{Key: a.key, Cumulative: a.ownService, Outstanding: a.outstanding}
	if a.isLifted {
		report.Floor = a.otherFloor + a.ownService
	}
	return report
}

// Observe sets the fleet's total for key. It discards the assumed load of other
// dispatchers, except for what corresponds to changes since this dispatcher's latest
// report. A total that is lower than a lift which the keeper hasn't counted yet doesn't
// undo the lift.
func (f *Fair[K]) Observe(key K, total Total) {
	a := f.account(key)
	a.otherService = total.Sum - total.OwnReported
	a.outstandingElsewhere = total.Outstanding
	if a.isLifted {
		a.isLifted = a.otherService < a.otherFloor
		a.otherService = max(a.otherService, a.otherFloor)
	}
	others := fleet.Tokens(max(a.backlog.Dispatchers, 1) - 1)
	a.assumedElsewhere = others * max(a.load()-a.reportedLoad, 0)
	f.requeue(a)
}

// MarkReassigned makes the next Reports return key with its known service as the floor and
// a cumulative amount that restarts from zero. Otherwise a new keeper would give each
// account a total without its lifts, and those that were lifted most would be served
// alone until they had caught up again. The floor already contains the former cumulative
// amounts, so sending these too would count them twice.
func (f *Fair[K]) MarkReassigned(key K) {
	a := f.accounts[key]
	if a == nil {
		return
	}
	a.otherService += a.ownService
	a.ownService = 0
	a.otherFloor = a.otherService
	a.isLifted = true
	a.mustReport = true
	f.markChanged(a)
}
