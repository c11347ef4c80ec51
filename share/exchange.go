package share

import "nutmeglock.example/nutmeglock/fleet"

// Reports returns the accounts whose load changed by more than threshold since
// they were last returned, in the order of their first change after that, and
// those that were reassigned. Before that it limits the lead of the account
// that was served most.
func (f *Fair[K]) Reports(threshold fleet.Tokens) []Report[K] {
	f.limitLead()
	var reports []Report[K]
	kept := f.change[:0]
	for _, a := range f.change {
		if !a.isChanged {
			continue
		}
		change := a.load() - a.reported
		if !a.due && max(change, -change) <= threshold {
			kept = append(kept, a)
			continue
		}
		reports = append(reports, a.report())
	}
	clear(f.change[len(kept):])
	f.change = kept
	return reports
}

func (a *account[K]) report() Report[K] {
	a.reported = a.load()
	a.isChanged = false
	a.due = false
	report := Report[K]{Key: a.key, Cumulative: a.own, Outstanding: a.outstanding}
	if a.lifted {
		report.Floor = a.least + a.own
	}
	return report
}

// Observe takes the fleet's total and drops the surplus that stood in for it,
// but for what changed since this dispatcher's latest report. A total that is lower
// than a lift that the keeper has not counted does not undo the lift.
func (f *Fair[K]) Observe(key K, total Total) {
	a := f.account(key)
	a.base = total.Sum - total.Covered
	a.elsewhere = total.Outstanding
	if a.lifted {
		a.lifted = a.base < a.least
		a.base = max(a.base, a.least)
	}
	others := fleet.Tokens(max(a.waiting.Asked, 1) - 1)
	a.surplus = others * max(a.load()-a.reported, 0)
	f.place(a)
}

// Reassigned makes the next Reports return key with its known service as the
// floor and a cumulative amount that starts again from zero. A keeper that
// starts with nothing remembered would otherwise give each account a total
// without its lifts, and those that were lifted most would be served alone
// until they had caught up a second time. Were the former cumulative amounts
// sent besides the floor, which contains them, they would count twice.
func (f *Fair[K]) Reassigned(key K) {
	a := f.accounts[key]
	if a == nil {
		return
	}
	a.base += a.own
	a.own = 0
	a.least = a.base
	a.lifted = true
	a.due = true
	f.mark(a)
}
