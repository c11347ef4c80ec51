package share

import "nutmeglock.example/nutmeglock/fleet"

// FirstCome serves the request that has waited longest, whichever account it belongs to.
// It is the baseline for Fair: an account gets what it asks for, so that one account's
// flood takes nearly everything. Its zero value is ready to use.
type FirstCome[K comparable] struct {
	accounts map[K]*arrival[K]
	waiting  queue[*arrival[K]]
	arrivals uint64
}

// arrival is an account's oldest waiting request.
type arrival[K comparable] struct {
	key     K
	backlog Backlog
	// number breaks ties between accounts that began to wait at the same instant.
	number   uint64
	position int
}

func (a *arrival[K]) less(other *arrival[K]) bool {
	if !a.backlog.OldestSince.Equal(other.backlog.OldestSince) {
		return a.backlog.OldestSince.Before(other.backlog.OldestSince)
	}
	return a.number < other.number
}

func (a *arrival[K]) positionPtr() *int { return &a.position }

// SetBacklog replaces what is known about key's waiting requests.
func (f *FirstCome[K]) SetBacklog(key K, backlog Backlog) {
	a := f.accounts[key]
	if backlog.Requests == 0 {
		f.Forget(key)
		return
	}
	if a == nil {
		if f.accounts == nil {
			f.accounts = make(map[K]*arrival[K])
		}
		f.arrivals++
		a = &arrival[K]{key: key, number: f.arrivals}
		f.accounts[key] = a
	}
	a.backlog = backlog
	f.waiting.update(a)
}

// Next returns the key that has waited longest among those for which eligible is true. A
// nil eligible accepts every key.
func (f *FirstCome[K]) Next(eligible func(key K) bool) (K, bool) {
	a, ok := f.waiting.firstAccepted(func(a *arrival[K]) bool { return eligible == nil || eligible(a.key) })
	if !ok {
		var zero K
		return zero, false
	}
	return a.key, true
}

// Start does nothing: FirstCome ignores service.
func (f *FirstCome[K]) Start(K, fleet.Tokens) {}

// AddService does nothing: FirstCome ignores service.
func (f *FirstCome[K]) AddService(K, fleet.Tokens) {}

// End does nothing: FirstCome ignores service.
func (f *FirstCome[K]) End(K, fleet.Tokens) {}

// Forget removes key.
func (f *FirstCome[K]) Forget(key K) {
	a := f.accounts[key]
	if a == nil {
		return
	}
	f.waiting.remove(a)
	delete(f.accounts, key)
}
