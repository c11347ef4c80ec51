package share

import (
	"cmp"

	"nutmeglock.example/nutmeglock/fleet"
)

// Fair serves the waiting account with the least virtual time. Its zero value is ready to
// use. It keeps every account that it has seen until Forget is called.
type Fair[K comparable] struct {
	accounts map[K]*account[K]
	waiting  queue[*account[K]]
	// changed lists the accounts whose load changed since they were last reported.
	changed []*account[K]
	// largestEstimate is the largest estimate of recently started requests.
	largestEstimate fleet.Tokens
	// lastService is the service per weight of the account that started a request last. A
	// returning account is lifted to it when no other account waits.
	lastService float64
	startCount  uint64
}

// account is the state of one account in a Fair.
//
// Its service across the fleet is otherService + ownService.
type account[K comparable] struct {
	key     K
	backlog Backlog
	// ownService is the service of this dispatcher's requests. otherService is the known
	// service of the other dispatchers' requests, including lifts.
	ownService   fleet.Tokens
	otherService fleet.Tokens
	// otherFloor is the lower bound of otherService until the keeper's total includes a
	// lift.
	otherFloor fleet.Tokens
	// outstanding is the sum of the estimates of requests that this dispatcher has in
	// flight, and outstandingElsewhere that of the other dispatchers.
	outstanding          fleet.Tokens
	outstandingElsewhere fleet.Tokens
	// assumedElsewhere is the load that other dispatchers, asked to serve the same
	// requests, are assumed to have added since the last exchange.
	assumedElsewhere fleet.Tokens
	// reportedLoad is the load that Reports last returned.
	reportedLoad fleet.Tokens
	// isLifted is set while a lift has to be reported to the keeper.
	isLifted bool
	// mustReport makes the next Reports return the account whatever the threshold is.
	mustReport bool
	isChanged  bool
	// lastStart is the sequence number of the account's latest start, to break ties.
	lastStart   uint64
	virtualTime float64
	position    int
}

// servicePerWeight returns the account's service across the fleet divided by its weight.
func (a *account[K]) servicePerWeight() float64 {
	return float64(a.otherService+a.ownService) / float64(max(a.backlog.Weight, 1))
}

// load returns the account's load at this dispatcher: its service plus half of the
// outstanding cost.
func (a *account[K]) load() fleet.Tokens { return a.ownService + a.outstanding/2 }

// less orders accounts by virtual time, and by their latest start if that is equal, the
// least recent first.
func (a *account[K]) less(other *account[K]) bool {
	if a.virtualTime != other.virtualTime {
		return a.virtualTime < other.virtualTime
	}
	return cmp.Less(a.lastStart, other.lastStart)
}

func (a *account[K]) positionPtr() *int { return &a.position }

// SetBacklog replaces what is known about key's waiting requests, and lifts an account that
// returns from idle.
func (f *Fair[K]) SetBacklog(key K, backlog Backlog) {
	a := f.account(key)
	isReturning := a.backlog.Requests == 0 && backlog.Requests > 0
	a.backlog = backlog
	if backlog.Requests == 0 {
		f.waiting.remove(a)
		return
	}
	if isReturning {
		f.liftReturning(a)
	}
	f.requeue(a)
}

// liftReturning raises an account that returns from idle to the service per weight of the
// account that is next. Otherwise it would be served alone until it had caught up with
// what the others received while it was idle.
func (f *Fair[K]) liftReturning(a *account[K]) {
	target := f.lastService
	if head, ok := f.waiting.peek(); ok {
		target = head.servicePerWeight()
	}
	f.raiseService(a, target)
}

// raiseService raises an account's service per weight to at least target, to be reported
// to its keeper.
func (f *Fair[K]) raiseService(a *account[K], target float64) {
	floor := fleet.Tokens(target * float64(max(a.backlog.Weight, 1)))
	if floor <= a.otherService+a.ownService {
		return
	}
	a.otherService = floor - a.ownService
	a.otherFloor = a.otherService
	a.isLifted = true
}

// Next returns the waiting key with the least virtual time among those for which eligible
// is true. A nil eligible accepts every key.
func (f *Fair[K]) Next(eligible func(key K) bool) (K, bool) {
	a, ok := f.waiting.firstAccepted(func(a *account[K]) bool { return eligible == nil || eligible(a.key) })
	if !ok {
		var zero K
		return zero, false
	}
	return a.key, true
}

// Start adds the estimate of a request that is sent now to key's outstanding cost.
func (f *Fair[K]) Start(key K, estimate fleet.Tokens) {
	a := f.account(key)
	f.lastService = a.servicePerWeight()
	f.startCount++
	a.lastStart = f.startCount
	a.outstanding += estimate
	f.largestEstimate = max(estimate, f.largestEstimate-f.largestEstimate/largestEstimateDecay)
	f.addLoad(a, estimate/2)
}

// AddService adds to the service of key; a negative amount subtracts.
func (f *Fair[K]) AddService(key K, amount fleet.Tokens) {
	a := f.account(key)
	a.ownService += amount
	f.addLoad(a, amount)
}

// End removes the estimate of a request that has ended from key's outstanding cost.
func (f *Fair[K]) End(key K, estimate fleet.Tokens) {
	a := f.account(key)
	before := a.outstanding
	a.outstanding = max(before-estimate, 0)
	f.addLoad(a, (a.outstanding-before)/2)
}

// addLoad accounts for a change of an account's load by amount. It assumes the same
// change at each of the other dispatchers that were asked.
func (f *Fair[K]) addLoad(a *account[K], amount fleet.Tokens) {
	others := fleet.Tokens(max(a.backlog.Dispatchers, 1) - 1)
	a.assumedElsewhere = max(a.assumedElsewhere+others*amount, 0)
	f.markChanged(a)
	f.requeue(a)
}

// requeue updates the virtual time of an account and its position in the queue, if it
// waits.
func (f *Fair[K]) requeue(a *account[K]) {
	if a.backlog.Requests == 0 {
		return
	}
	load := a.otherService + a.ownService + (a.outstanding+a.outstandingElsewhere)/2 + a.assumedElsewhere
	a.virtualTime = float64(load) / float64(max(a.backlog.Weight, 1))
	f.waiting.update(a)
}

// markChanged adds the account to those that Reports checks.
func (f *Fair[K]) markChanged(a *account[K]) {
	if !a.isChanged {
		a.isChanged = true
		f.changed = append(f.changed, a)
	}
}

// Service returns the known service of key across the fleet, including lifts.
func (f *Fair[K]) Service(key K) fleet.Tokens {
	a := f.accounts[key]
	if a == nil {
		return 0
	}
	return a.otherService + a.ownService
}

// Len returns the number of known accounts.
func (f *Fair[K]) Len() int { return len(f.accounts) }

// Forget removes key. An account that returns after this is lifted like a new account.
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
