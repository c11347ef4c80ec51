package experiment

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/share"
)

// Policy is one way of sharing the upstreams among accounts and routers.
type Policy struct {
	Name string
	// About describes the policy in one phrase.
	About string
	// sharePolicy returns a new sharing policy for a dispatcher.
	sharePolicy func() share.Policy[fleet.ShortID]
	// limiter returns the limiter of an upstream, given the slots of its release note.
	limiter   func(slots int) inflight.Limiter
	placement placement.Policy
	// static divides each upstream's slots among the routers in advance.
	static bool
}

func fairPolicy() share.Policy[fleet.ShortID] { return &share.Fair[fleet.ShortID]{} }

func adaptiveLimiter(slots int) inflight.Limiter { return &inflight.Adaptive{Max: slots} }

func fixedLimiter(slots int) inflight.Limiter { return inflight.Fixed(slots) }

// Policies returns the product's policy first, then the baselines.
func Policies() []Policy {
	return []Policy{
		{
			Name:        "fair",
			About:       "one dispatcher per upstream, fair order by fleet-wide service, adaptive limits",
			sharePolicy: fairPolicy, limiter: adaptiveLimiter, placement: placement.CacheAffinity{},
		},
		{
			Name:        "fcfs",
			About:       "one dispatcher per upstream, first come first served, adaptive limits",
			sharePolicy: func() share.Policy[fleet.ShortID] { return &share.FirstCome[fleet.ShortID]{} },
			limiter:     adaptiveLimiter, placement: placement.LeastLoaded{},
		},
		{
			Name:        "static-share",
			About:       "each router has a fixed part of each upstream's real batch, and its own fair order",
			sharePolicy: fairPolicy, limiter: fixedLimiter, placement: placement.CacheAffinity{}, static: true,
		},
	}
}

// Variants returns further policies that show the effect of single parts.
func Variants() []Policy {
	return []Policy{
		{
			Name:        "fair-least-loaded",
			About:       "as fair, but ignoring prefix caches",
			sharePolicy: fairPolicy, limiter: adaptiveLimiter, placement: placement.LeastLoaded{},
		},
		{
			Name:        "fair-fixed",
			About:       "as fair, but with the slots of the release note as a fixed limit",
			sharePolicy: fairPolicy, limiter: fixedLimiter, placement: placement.CacheAffinity{},
		},
		{
			Name:        "deficit-robin",
			About:       "one dispatcher per upstream, deficit round robin at each, adaptive limits",
			sharePolicy: func() share.Policy[fleet.ShortID] { return &share.DeficitRoundRobin[fleet.ShortID]{} },
			limiter:     adaptiveLimiter, placement: placement.CacheAffinity{},
		},
	}
}

// PolicyByName returns the policy or variant of that name, and whether there
// is one.
func PolicyByName(name string) (Policy, bool) {
	for _, policy := range append(Policies(), Variants()...) {
		if policy.Name == name {
			return policy, true
		}
	}
	return Policy{}, false
}
