package share

import "nutmeglock.example/nutmeglock/fleet"

// Keeper sums what all dispatchers charged the accounts that it keeps. D is
// what it tells dispatchers apart by. Its zero value is ready to use, and it
// is used by one goroutine.
type Keeper[K, D comparable] struct {
	accounts map[K]*kept[D]
}

// kept is what a Keeper knows of one account.
type kept[D comparable] struct {
	cumulative map[D]fleet.Tokens
	sum        fleet.Tokens
	// lift is what the account has beyond the sum, from floors and from
	// dispatchers that are gone.
	lift fleet.Tokens
}

// Report counts a dispatcher's report in and returns the total. The same
// report counts once, however often it comes.
func (k *Keeper[K, D]) Report(from D, report Report[K]) Total {
	a := k.account(report.Key)
	a.sum += report.Cumulative - a.cumulative[from]
	a.cumulative[from] = report.Cumulative
	if report.Floor > 0 {
		a.lift = max(a.lift, report.Floor-a.sum)
	}
	return Total{Sum: a.sum + a.lift, Covered: report.Cumulative}
}

// Total returns the total of key as dispatcher to sees it.
func (k *Keeper[K, D]) Total(to D, key K) Total {
	a := k.accounts[key]
	if a == nil {
		return Total{}
	}
	return Total{Sum: a.sum + a.lift, Covered: a.cumulative[to]}
}

// Gone says that a dispatcher ended or started again, so that its cumulative
// amounts start again from zero. What it charged stays in the totals: without
// it each account would be given credit for the service it got there.
func (k *Keeper[K, D]) Gone(dispatcher D) {
	for _, a := range k.accounts {
		amount, ok := a.cumulative[dispatcher]
		if !ok {
			continue
		}
		delete(a.cumulative, dispatcher)
		a.sum -= amount
		a.lift += amount
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
	a = &kept[D]{cumulative: make(map[D]fleet.Tokens)}
	k.accounts[key] = a
	return a
}
