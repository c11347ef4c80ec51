package share

import (
	"cmp"

	"nutmeglock.example/nutmeglock/fleet"
)

// Fair serves the waiting account with the least virtual time. Its zero value
// is ready to use. Its memory grows with the accounts that it ever saw;
// Forget drops those that were withdrawn.
type Fair[K comparable] struct {
	accounts map[K]*account[K]
	waiting  queue[*account[K]]
	// change are the accounts whose load changed since they were last reported.
	change []*account[K]
	// largest follows the largest estimate of late.
	largest fleet.Tokens
	// last is the service of the account that was started last, to which an
	// account is lifted that returns when none waits.
	last   float64
	starts uint64
}

// account is what a Fair knows of one account.
//
// Its service across the fleet is base + own: own is what it was served for
// this dispatcher's requests, base is what it was served for the others', as
// far as known, and lifts.
type account[K comparable] struct {
	key     K
	waiting Waiting
	own     fleet.Tokens
	base    fleet.Tokens
	// least bounds base from below until the keeper's total has caught up with
	// a lift.
	least fleet.Tokens
	// outstanding is the sum of the estimates of requests in flight, elsewhere
	// that of the other dispatchers'.
	outstanding fleet.Tokens
	elsewhere   fleet.Tokens
	// surplus is counted for what the other asked dispatchers may have done
	// since the last exchange.
	surplus fleet.Tokens
	// reported is load when the account was last returned by Reports.
	reported fleet.Tokens
	// lifted is set while least has to be reported.
	lifted bool
	// due makes the next Reports return the account whatever the threshold is.
	due       bool
	isChanged bool
	// started numbers the account's latest start, to break ties in turn.
	started  uint64
	tag      float64
	position int
}

// service returns what the account was served, over its weight.
func (a *account[K]) service() float64 {
	return float64(a.base+a.own) / float64(max(a.waiting.Weight, 1))
}

// load returns what counts here of the account: service and half of what is
// outstanding.
func (a *account[K]) load() fleet.Tokens { return a.own + a.outstanding/2 }

// less orders by virtual time; the account that was served least recently goes
// first among equals.
func (a *account[K]) less(other *account[K]) bool {
	if a.tag != other.tag {
		return a.tag < other.tag
	}
	return cmp.Less(a.started, other.started)
}

func (a *account[K]) place() *int { return &a.position }

// Wait replaces what is known of key's waiting work, and lifts an account
// that returns from idle.
func (f *Fair[K]) Wait(key K, waiting Waiting) {
	a := f.account(key)
	returns := a.waiting.Requests == 0 && waiting.Requests > 0
	a.waiting = waiting
	if waiting.Requests == 0 {
		f.waiting.remove(a)
		return
	}
	if returns {
		f.lift(a)
	}
	f.place(a)
}

// lift raises an account that returns from idle to the service of the account
// whose turn it is. Without it the account would be served alone until it had
// caught up with what the others got while it was idle.
func (f *Fair[K]) lift(a *account[K]) {
	target := f.last
	if head, ok := f.waiting.least(); ok {
		target = head.service()
	}
	f.raise(a, target)
}

// raise brings an account's service over weight up to target, and notes that
// its keeper has to know.
func (f *Fair[K]) raise(a *account[K], target float64) {
	floor := fleet.Tokens(target * float64(max(a.waiting.Weight, 1)))
	if floor <= a.base+a.own {
		return
	}
	a.base = floor - a.own
	a.least = a.base
	a.lifted = true
}

// Next returns the waiting key with the least virtual time among those that
// eligible accepts. A nil eligible accepts all.
func (f *Fair[K]) Next(eligible func(key K) bool) (K, bool) {
	a, ok := f.waiting.first(func(a *account[K]) bool { return eligible == nil || eligible(a.key) })
	if !ok {
		var none K
		return none, false
	}
	return a.key, true
}

// Start makes the estimate of a request that is sent now outstanding.
func (f *Fair[K]) Start(key K, estimate fleet.Tokens) {
	a := f.account(key)
	f.last = a.service()
	f.starts++
	a.started = f.starts
	a.outstanding += estimate
	f.largest = max(estimate, f.largest-f.largest/leadMemory)
	f.changed(a, estimate/2)
}

// Correct adds to what key was served; a negative amount takes back.
func (f *Fair[K]) Correct(key K, amount fleet.Tokens) {
	a := f.account(key)
	a.own += amount
	f.changed(a, amount)
}

// End takes the estimate of a request that has ended out of what is outstanding.
func (f *Fair[K]) End(key K, estimate fleet.Tokens) {
	a := f.account(key)
	before := a.outstanding
	a.outstanding = max(before-estimate, 0)
	f.changed(a, (a.outstanding-before)/2)
}

// changed takes note that an account's load changed by amount.
func (f *Fair[K]) changed(a *account[K], amount fleet.Tokens) {
	others := fleet.Tokens(max(a.waiting.Asked, 1) - 1)
	a.surplus = max(a.surplus+others*amount, 0)
	f.mark(a)
	f.place(a)
}

// place moves an account that waits to its turn.
func (f *Fair[K]) place(a *account[K]) {
	if a.waiting.Requests == 0 {
		return
	}
	virtual := a.base + a.own + (a.outstanding+a.elsewhere)/2 + a.surplus
	a.tag = float64(virtual) / float64(max(a.waiting.Weight, 1))
	f.waiting.update(a)
}

func (f *Fair[K]) mark(a *account[K]) {
	if !a.isChanged {
		a.isChanged = true
		f.change = append(f.change, a)
	}
}

// Service returns what the fleet is known to have served key, lifts included.
func (f *Fair[K]) Service(key K) fleet.Tokens {
	a := f.accounts[key]
	if a == nil {
		return 0
	}
	return a.base + a.own
}

// Len returns how many accounts are known.
func (f *Fair[K]) Len() int { return len(f.accounts) }

// Forget drops all that is known of key. An account that comes back after it
// starts with the service of those that wait, like any new one.
func (f *Fair[K]) Forget(key K) {
	a := f.accounts[key]
	if a == nil {
		return
	}
	f.waiting.remove(a)
	delete(f.accounts, key)
	a.isChanged = false
}

func (f *Fair[K]) account(key K) *account[K] {
	a := f.accounts[key]
	if a != nil {
		return a
	}
	if f.accounts == nil {
		f.accounts = make(map[K]*account[K])
	}
	a = &account[K]{key: key}
	f.accounts[key] = a
	return a
}
