package share

import "nutmeglock.example/nutmeglock/fleet"

// FirstCome serves the request that has waited longest, whoever sent it. It is
// the baseline that Fair is measured against: an account gets what it asks
// for, so one that floods takes nearly everything. Its zero value is ready to
// use.
type FirstCome[K comparable] struct {
	accounts map[K]*arrival[K]
	waiting  queue[*arrival[K]]
	arrivals uint64
}

// arrival is an account's oldest waiting request.
type arrival[K comparable] struct {
	key     K
	waiting Waiting
	// number breaks ties between accounts that began to wait at one instant.
	number   uint64
	position int
}

func (a *arrival[K]) less(other *arrival[K]) bool {
	if !a.waiting.Since.Equal(other.waiting.Since) {
		return a.waiting.Since.Before(other.waiting.Since)
	}
	return a.number < other.number
}

func (a *arrival[K]) place() *int { return &a.position }

// Wait replaces what is known of key's waiting work.
func (f *FirstCome[K]) Wait(key K, waiting Waiting) {
	a := f.accounts[key]
	if waiting.Requests == 0 {
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
	a.waiting = waiting
	f.waiting.update(a)
}

// Next returns the key that has waited longest among those that eligible
// accepts. A nil eligible accepts all.
func (f *FirstCome[K]) Next(eligible func(key K) bool) (K, bool) {
	a, ok := f.waiting.first(func(a *arrival[K]) bool { return eligible == nil || eligible(a.key) })
	if !ok {
		var none K
		return none, false
	}
	return a.key, true
}

// Start does nothing: service does not count here.
func (f *FirstCome[K]) Start(K, fleet.Tokens) {}

// Correct does nothing: service does not count here.
func (f *FirstCome[K]) Correct(K, fleet.Tokens) {}

// End does nothing: service does not count here.
func (f *FirstCome[K]) End(K, fleet.Tokens) {}

// Forget drops what is known of key.
func (f *FirstCome[K]) Forget(key K) {
	a := f.accounts[key]
	if a == nil {
		return
	}
	f.waiting.remove(a)
	delete(f.accounts, key)
}
