package share

import (
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
)

// defaultQuantum is the quantum in weighted tokens of an account of weight 1. It is about
// the cost of a usual request, so that most turns start one.
const defaultQuantum fleet.Tokens = 500

// DeficitRoundRobin visits the waiting accounts in turn and lets each start requests
// worth one quantum per round. It is the cheap baseline for fair policies. It doesn't
// compare accounts and keeps no record of their service, so an account that returns from
// idle is neither lifted nor held back, and dispatchers can't exchange service. Its zero
// value is ready to use.
type DeficitRoundRobin[K comparable] struct {
	// Quantum is the tokens per round and unit of weight; zero means 500.
	Quantum  fleet.Tokens
	accounts map[K]*robinAccount[K]
	active   []*robinAccount[K]
}

type robinAccount[K comparable] struct {
	key     K
	backlog Backlog
	balance fleet.Tokens
}

// SetBacklog replaces what is known about key's waiting requests.
func (d *DeficitRoundRobin[K]) SetBacklog(key K, backlog Backlog) {
	a := d.accounts[key]
	if a == nil {
		if d.accounts == nil {
			d.accounts = make(map[K]*robinAccount[K])
		}
		a = &robinAccount[K]{key: key}
		d.accounts[key] = a
	}
	previous := a.backlog.Requests
	a.backlog = backlog
	switch {
	case previous == 0 && backlog.Requests > 0:
		d.active = append(d.active, a)
	case previous > 0 && backlog.Requests == 0:
		d.active = slices.DeleteFunc(d.active, func(other *robinAccount[K]) bool { return other == a })
		a.balance = min(a.balance, 0)
	}
}

// Next returns the first eligible key in the round with a positive balance. If there is
// none, it returns the key that needs the fewest further rounds to reach one.
func (d *DeficitRoundRobin[K]) Next(eligible func(key K) bool) (K, bool) {
	var best *robinAccount[K]
	var bestRounds fleet.Tokens
	for _, a := range d.active {
		if eligible != nil && !eligible(a.key) {
			continue
		}
		rounds := d.roundsUntilStart(a)
		if best == nil || rounds < bestRounds {
			best, bestRounds = a, rounds
		}
		if bestRounds == 0 {
			break
		}
	}
	if best == nil {
		var zero K
		return zero, false
	}
	return best.key, true
}

// roundsUntilStart returns how many rounds it takes until a may start a request.
func (d *DeficitRoundRobin[K]) roundsUntilStart(a *robinAccount[K]) fleet.Tokens {
	if a.balance > 0 {
		return 0
	}
	return -a.balance/d.quantumOf(a) + 1
}

func (d *DeficitRoundRobin[K]) quantumOf(a *robinAccount[K]) fleet.Tokens {
	quantum := d.Quantum
	if quantum <= 0 {
		quantum = defaultQuantum
	}
	return quantum * fleet.Tokens(max(a.backlog.Weight, 1))
}

// Start adds the rounds that key needs for a positive balance and subtracts the estimate
// from the balance. A key whose balance is used up moves to the end of the round.
func (d *DeficitRoundRobin[K]) Start(key K, estimate fleet.Tokens) {
	a := d.accounts[key]
	if a == nil {
		return
	}
	if rounds := d.roundsUntilStart(a); rounds > 0 {
		for _, each := range d.active {
			each.balance += rounds * d.quantumOf(each)
		}
	}
	a.balance -= estimate
	if a.balance > 0 {
		return
	}
	i := slices.Index(d.active, a)
	if i >= 0 {
		d.active = append(slices.Delete(d.active, i, i+1), a)
	}
}

// AddService subtracts service from key's balance; a negative amount adds to it.
func (d *DeficitRoundRobin[K]) AddService(key K, amount fleet.Tokens) {
	if a := d.accounts[key]; a != nil {
		a.balance -= amount
	}
}

// End returns the estimate to key's balance; AddService has subtracted the service that the
// request received.
func (d *DeficitRoundRobin[K]) End(key K, estimate fleet.Tokens) { d.AddService(key, -estimate) }

// Forget removes key.
func (d *DeficitRoundRobin[K]) Forget(key K) {
	d.SetBacklog(key, Backlog{})
	delete(d.accounts, key)
}
