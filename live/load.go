package live

import (
	"slices"
	"strings"
)

// Load describes the requests that accounts send during a run.
type Load struct {
	Name string
	// slowOneIn is n if one engine in n is slow; zero means that none is.
	slowOneIn int
	// clients returns the behaviour of each account.
	clients func(options Options) []client
}

// slowCount returns the number of slow engines.
func (l Load) slowCount(engines int) int {
	if l.slowOneIn == 0 {
		return 0
	}
	return engines / l.slowOneIn
}

// client describes how one account sends requests. Each of its callers sends
// one request at a time.
type client struct {
	callers int
	// router is the only router that the account uses; -1 spreads its requests
	// over all.
	router int
	// tokens is the mean length of its answers.
	tokens int
}

const (
	anyRouter    = -1
	usualTokens  = 320
	longTokens   = 1600
	accountCount = 16
	// smallAccount is the account whose times are also reported separately.
	smallAccount = 0
)

// Loads returns all loads. The first two are the default.
func Loads() []Load {
	return []Load{
		{Name: "few-large", clients: fewLarge},
		{Name: "flood", clients: flood},
		{Name: "one-router", clients: oneRouter},
		{Name: "long-among-short", clients: longAmongShort},
		{Name: "slow-upstream", clients: fewLarge, slowOneIn: 5},
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

// LoadNames returns the names of all loads, separated by commas.
func LoadNames() string {
	var names []string
	for _, load := range Loads() {
		names = append(names, load.Name)
	}
	return strings.Join(names, ", ")
}

// Policy is a way to share capacity, by its name in a router's settings.
type Policy string

// Policies returns all policies; those after the first are baselines.
func Policies() []Policy { return []Policy{"fair", "fcfs", "static-share"} }

// PolicyByName returns the policy of that name, and whether there is one.
func PolicyByName(name string) (Policy, bool) {
	return Policy(name), slices.Contains(Policies(), Policy(name))
}

// PolicyNames returns the names of all policies, separated by commas.
func PolicyNames() string {
	var names []string
	for _, policy := range Policies() {
		names = append(names, string(policy))
	}
	return strings.Join(names, ", ")
}

// backlog returns the number of callers that keep an account backlogged: twice
// its fair share of all batch slots.
func backlog(options Options) int {
	const share = 2
	return share * options.Engines * options.Batch / accountCount
}

// fewLarge gives three accounts five times the callers of the others.
func fewLarge(options Options) []client {
	const large, times = 3, 5
	clients := make([]client, accountCount)
	for n := range clients {
		clients[n] = client{backlog(options), anyRouter, usualTokens}
		if n > 0 && n <= large {
			clients[n].callers *= times
		}
	}
	return clients
}

// saturation makes all accounts request eight times their fair share.
func saturation(options Options) []client {
	const times = 4
	clients := make([]client, accountCount)
	for n := range clients {
		clients[n] = client{times * backlog(options), anyRouter, usualTokens}
	}
	return clients
}

// oneRouter sends all requests to the same router.
func oneRouter(options Options) []client {
	clients := make([]client, accountCount)
	for n := range clients {
		clients[n] = client{backlog(options), 0, usualTokens}
	}
	return clients
}

// longAmongShort gives long answers to every fourth account.
func longAmongShort(options Options) []client {
	const every = 4
	clients := make([]client, accountCount)
	for n := range clients {
		clients[n] = client{backlog(options), anyRouter, usualTokens}
		if n%every == 0 {
			clients[n].tokens = longTokens
		}
	}
	return clients
}

// flood has one account that sends one request at a time and one that floods
// the fleet; there are no others.
func flood(options Options) []client {
	const times = 4
	return []client{
		{1, anyRouter, usualTokens},
		{times * options.Engines * options.Batch, anyRouter, usualTokens},
	}
}
