package share

import "nutmeglock.example/nutmeglock/fleet"

// Keeper sums what all dispatchers served the accounts that it keeps. D is
// what it tells dispatchers apart by. Its zero value is ready to use, and it
// is used by one goroutine.
type Keeper[K, D comparable] struct {
	accounts map[K]*kept[D]
}

// kept is what a Keeper knows of one account.
type kept[D comparable] struct {
	dispatchers map[D]part
	sum         fleet.Tokens
	outstanding fleet.Tokens
	// lift is what the account has beyond the sum, from floors and from
	// dispatchers that are gone.
	lift fleet.Tokens
}

// part is what one dispatcher last reported of an account.
type part struct {
	cumulative  fleet.Tokens
	outstanding fleet.Tokens
}

// Report counts a dispatcher's report in and returns the total. The same
// report counts once, however often it comes.
func (k *Keeper[K, D]) Report(from D, report Report[K]) Total {
	a := k.account(report.Key)
	before := a.dispatchers[from]
	a.sum += report.Cumulative - before.cumulative
	a.outstanding += report.Outstanding - before.outstanding
	a.dispatchers[from] = part{report.Cumulative, report.Outstanding}
	if report.Floor > 0 {
		a.lift = max(a.lift, report.Floor-a.sum)
	}
	return a.total(from)
}

// Total returns the total of key as dispatcher to sees it.
func (k *Keeper[K, D]) Total(to D, key K) Total {
	a := k.accounts[key]
	if a == nil {
		return Total{}
	}
	return a.total(to)
}

func (a *kept[D]) total(to D) Total {
	own := a.dispatchers[to]
	return Total{Sum: a.sum + a.lift, Covered: own.cumulative, Outstanding: a.outstanding - own.outstanding}
}

// Gone says that a dispatcher ended or started again, so that its cumulative
// amounts start again from zero. What it served stays in the totals: without
// it each account would be given credit for the service it got there.
func (k *Keeper[K, D]) Gone(dispatcher D) {
	for _, a := range k.accounts {
		last, ok := a.dispatchers[dispatcher]
		if !ok {
			continue
		}
		delete(a.dispatchers, dispatcher)
		a.sum -= last.cumulative
		a.lift += last.cumulative
		a.outstanding -= last.outstanding
	}
}

// Forget drops an account that was withdrawn or has another keeper.
func (k *Keeper[K, D]) Forget(key K) { delete(k.accounts, key) }

// Len returns how many accounts are kept.
func (k *Keeper[K, D]) Len() int { return len(k.accounts) }

func (k *Keeper[K, D]) account(key K) *kept[D] {
	a := k.accounts[key]
	if a != nil {
		return a
	}
	if k.accounts == nil {
		k.accounts = make(map[K]*kept[D])
	}
	a = &kept[D]{dispatchers: make(map[D]part)}
	k.accounts[key] = a
	return a
}
