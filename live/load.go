package live

import (
	"slices"
	"strings"
)

// Load is what accounts ask for during a run.
type Load struct {
	Name string
	// slowEngines is the part of the engines that is slow, as one in so many;
	// zero for none.
	slowEngines int
	// clients returns what each account does.
	clients func(options Options) []client
}

// slow returns how many of so many engines are slow.
func (l Load) slow(engines int) int {
	if l.slowEngines == 0 {
		return 0
	}
	return engines / l.slowEngines
}

// client is what one account does: so many callers, each with one request
// after the other.
type client struct {
	callers int
	// router pins the account to one router; -1 spreads it over all.
	router int
	// tokens is the mean length of an answer.
	tokens int
}

const (
	anyRouter   = -1
	usualTokens = 320
	longTokens  = 1600
	accounts    = 16
	// smallAccount is the account whose times are reported by themselves.
	smallAccount = 0
)

// Loads returns all loads. A run without a choice plays the first two.
func Loads() []Load {
	return []Load{
		{Name: "few-large", clients: fewLarge},
		{Name: "flood", clients: flood},
		{Name: "one-router", clients: oneRouter},
		{Name: "long-among-short", clients: longAmongShort},
		{Name: "slow-upstream", clients: fewLarge, slowEngines: 5},
		{Name: "saturation", clients: saturation},
	}
}

// LoadByName returns the load of that name, and whether there is one.
func LoadByName(name string) (Load, bool) {
	for _, load := range Loads() {
		if load.Name == name {
			return load, true
		}
	}
	return Load{}, false
}

// LoadNames returns the names of all loads, for messages.
func LoadNames() string {
	var names []string
	for _, load := range Loads() {
		names = append(names, load.Name)
	}
	return strings.Join(names, ", ")
}

// Policy is a way to share capacity, as the settings of a router name it.
type Policy string

// Policies returns all policies; those after the first are baselines.
func Policies() []Policy { return []Policy{"fair", "fcfs", "static-share"} }

// PolicyByName returns the policy of that name, and whether there is one.
func PolicyByName(name string) (Policy, bool) {
	return Policy(name), slices.Contains(Policies(), Policy(name))
}

// PolicyNames returns the names of all policies, for messages.
func PolicyNames() string {
	var names []string
	for _, policy := range Policies() {
		names = append(names, string(policy))
	}
	return strings.Join(names, ", ")
}

// backlog is the number of callers of an account that keep work waiting all
// the time: twice its fair part of all slots.
func backlog(options Options) int {
	const share = 2
	return share * options.Engines * options.Batch / accounts
}

// fewLarge has three accounts with five times the callers of the others.
func fewLarge(options Options) []client {
	const large, times = 3, 5
	clients := make([]client, accounts)
	for n := range clients {
		clients[n] = client{backlog(options), anyRouter, usualTokens}
		if n > 0 && n <= large {
			clients[n].callers *= times
		}
	}
	return clients
}

// saturation has all accounts ask for eight times what they can get.
func saturation(options Options) []client {
	const times = 4
	clients := make([]client, accounts)
	for n := range clients {
		clients[n] = client{times * backlog(options), anyRouter, usualTokens}
	}
	return clients
}

// oneRouter has all accounts' callers at one router.
func oneRouter(options Options) []client {
	clients := make([]client, accounts)
	for n := range clients {
		clients[n] = client{backlog(options), 0, usualTokens}
	}
	return clients
}

// longAmongShort has one account in four with long answers.
func longAmongShort(options Options) []client {
	const every = 4
	clients := make([]client, accounts)
	for n := range clients {
		clients[n] = client{backlog(options), anyRouter, usualTokens}
		if n%every == 0 {
			clients[n].tokens = longTokens
		}
	}
	return clients
}

// flood has one account that floods the fleet beside one that sends one
// request at a time; the others are quiet.
func flood(options Options) []client {
	const times = 4
	return []client{
		{1, anyRouter, usualTokens},
		{times * options.Engines * options.Batch, anyRouter, usualTokens},
	}
}
