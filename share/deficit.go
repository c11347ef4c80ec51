package share

import (
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
)

// defaultQuantum is what a DeficitRoundRobin gives an account of weight 1 in
// each round: about the cost of a usual request, so that most turns start one.
const defaultQuantum fleet.Tokens = 500

// DeficitRoundRobin visits the waiting accounts in turn and lets each start
// requests up to a quantum per round. It is the cheap baseline of fair orders:
// no comparison of service, but no memory of it either, so an account that
// returns from idle is neither lifted nor held back, and dispatchers cannot
// exchange service. Its zero value is ready to use.
type DeficitRoundRobin[K comparable] struct {
	// Quantum is the tokens per round and weight; zero means 500.
	Quantum  fleet.Tokens
	accounts map[K]*turn[K]
	round    []*turn[K]
}

type turn[K comparable] struct {
	key     K
	waiting Waiting
	balance fleet.Tokens
}

// Wait replaces what is known of key's waiting work.
func (d *DeficitRoundRobin[K]) Wait(key K, waiting Waiting) {
	a := d.accounts[key]
	if a == nil {
		if d.accounts == nil {
			d.accounts = make(map[K]*turn[K])
		}
		a = &turn[K]{key: key}
		d.accounts[key] = a
	}
	was := a.waiting.Requests
	a.waiting = waiting
	switch {
	case was == 0 && waiting.Requests > 0:
		d.round = append(d.round, a)
	case was > 0 && waiting.Requests == 0:
		d.round = slices.DeleteFunc(d.round, func(other *turn[K]) bool { return other == a })
		a.balance = min(a.balance, 0)
	}
}

// Next returns the first key in the round whose balance is not overdrawn, or
// the one that is the first to be so after further rounds.
func (d *DeficitRoundRobin[K]) Next(eligible func(key K) bool) (K, bool) {
	var best *turn[K]
	var bestRounds fleet.Tokens
	for _, a := range d.round {
		if eligible != nil && !eligible(a.key) {
			continue
		}
		rounds := d.rounds(a)
		if best == nil || rounds < bestRounds {
			best, bestRounds = a, rounds
		}
		if bestRounds == 0 {
			break
		}
	}
	if best == nil {
		var none K
		return none, false
	}
	return best.key, true
}

// rounds returns how many rounds it takes until a may start a request.
func (d *DeficitRoundRobin[K]) rounds(a *turn[K]) fleet.Tokens {
	if a.balance > 0 {
		return 0
	}
	return -a.balance/d.grant(a) + 1
}

func (d *DeficitRoundRobin[K]) grant(a *turn[K]) fleet.Tokens {
	quantum := d.Quantum
	if quantum <= 0 {
		quantum = defaultQuantum
	}
	return quantum * fleet.Tokens(max(a.waiting.Weight, 1))
}

// Start takes the estimate of a request, after the rounds that it takes until its balance allows,
// and moves a key that is overdrawn to the end of the round.
func (d *DeficitRoundRobin[K]) Start(key K, estimate fleet.Tokens) {
	a := d.accounts[key]
	if a == nil {
		return
	}
	if rounds := d.rounds(a); rounds > 0 {
		for _, each := range d.round {
			each.balance += rounds * d.grant(each)
		}
	}
	a.balance -= estimate
	if a.balance > 0 {
		return
	}
	i := slices.Index(d.round, a)
	if i >= 0 {
		d.round = append(slices.Delete(d.round, i, i+1), a)
	}
}

// Correct takes what key was served; a negative amount gives back.
func (d *DeficitRoundRobin[K]) Correct(key K, amount fleet.Tokens) {
	if a := d.accounts[key]; a != nil {
		a.balance -= amount
	}
}

// End gives back the estimate; what the request was served was taken by Correct.
func (d *DeficitRoundRobin[K]) End(key K, estimate fleet.Tokens) { d.Correct(key, -estimate) }

// Forget drops what is known of key.
func (d *DeficitRoundRobin[K]) Forget(key K) {
	d.Wait(key, Waiting{})
	delete(d.accounts, key)
}
