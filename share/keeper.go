package share

import "nutmeglock.example/nutmeglock/fleet"

// Keeper sums the service that all dispatchers gave the accounts assigned to it. K
// identifies an account and D a dispatcher. Its zero value is ready to use. It must not
// be used by several goroutines at once.
type Keeper[K, D comparable] struct {
	accounts map[K]*keptAccount[D]
}

// keptAccount holds the reports about one account.
type keptAccount[D comparable] struct {
	dispatchers map[D]dispatcherReport
	sum         fleet.Tokens
	outstanding fleet.Tokens
	// adjustment is added to sum for floors and for removed dispatchers.
	adjustment fleet.Tokens
}

// dispatcherReport is what one dispatcher last reported about an account.
type dispatcherReport struct {
	cumulative  fleet.Tokens
	outstanding fleet.Tokens
}

// Report applies a dispatcher's report and returns the new total. Repeated reports count
// once.
func (k *Keeper[K, D]) Report(from D, report Report[K]) Total {
	a := k.account(report.Key)
	before := a.dispatchers[from]
	a.sum += report.Cumulative - before.cumulative
	a.outstanding += report.Outstanding - before.outstanding
	a.dispatchers[from] = dispatcherReport{report.Cumulative, report.Outstanding}
	if report.Floor > 0 {
		a.adjustment = max(a.adjustment, report.Floor-a.sum)
	}
	return a.total(from)
}

// Total returns the total of key for the dispatcher to.
func (k *Keeper[K, D]) Total(to D, key K) Total {
	a := k.accounts[key]
	if a == nil {
		return Total{}
	}
	return a.total(to)
}

func (a *keptAccount[D]) total(to D) Total {
	own := a.dispatchers[to]
	return Total{Sum: a.sum + a.adjustment, OwnReported: own.cumulative, Outstanding: a.outstanding - own.outstanding}
}

// RemoveDispatcher records that a dispatcher stopped or restarted, so that its cumulative
// amounts restart from zero. Its past service stays in the totals; otherwise each account
// would be given as much service again.
func (k *Keeper[K, D]) RemoveDispatcher(dispatcher D) {
	for _, a := range k.accounts {
		last, ok := a.dispatchers[dispatcher]
		if !ok {
			continue
		}
		delete(a.dispatchers, dispatcher)
		a.sum -= last.cumulative
		a.adjustment += last.cumulative
		a.outstanding -= last.outstanding
	}
}

// Forget removes an account that was withdrawn or has another keeper.
func (k *Keeper[K, D]) Forget(key K) { delete(k.accounts, key) }

// Len returns the number of accounts.
func (k *Keeper[K, D]) Len() int { return len(k.accounts) }

func (k *Keeper[K, D]) account(key K) *keptAccount[D] {
	a := k.accounts[key]
	if a != nil {
		return a
	}
	if k.accounts == nil {
		k.accounts = make(map[K]*keptAccount[D])
	}
	a = &keptAccount[D]{dispatchers: make(map[D]dispatcherReport)}
	k.accounts[key] = a
	return a
}
