package experiment

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/inflight"
	"nutmeglock.example/nutmeglock/placement"
	"nutmeglock.example/nutmeglock/share"
)

// Policy is one way of sharing the upstreams among accounts and routers.
type Policy struct {
	Name  string
	About string
	order func() share.Order[fleet.Number]
	// limiter gets the slots that a release note names for an upstream.
	limiter   func(slots int) inflight.Limiter
	placement placement.Policy
	// static divides each upstream's slots among the routers.
	static bool
}

func newFair() share.Order[fleet.Number] { return &share.Fair[fleet.Number]{} }

func adaptive(slots int) inflight.Limiter { return &inflight.Adaptive{Max: slots} }

func fixed(slots int) inflight.Limiter { return inflight.Fixed(slots) }

// Policies returns the chosen way first and then the baselines.
func Policies() []Policy {
	return []Policy{
		{
			Name:  "fair",
			About: "one dispatcher per upstream, fair order by the fleet's service, adaptive limits",
			order: newFair, limiter: adaptive, placement: placement.Affinity{},
		},
		{
			Name:    "fcfs",
			About:   "one dispatcher per upstream, first come first served, adaptive limits",
			order:   func() share.Order[fleet.Number] { return &share.FirstCome[fleet.Number]{} },
			limiter: adaptive, placement: placement.LeastLoaded{},
		},
		{
			Name:  "static-share",
			About: "each router has its part of each upstream's true batch and a fair order of its own",
			order: newFair, limiter: fixed, placement: placement.Affinity{}, static: true,
		},
	}
}

// Variants returns further ways, for the effect of single parts.
func Variants() []Policy {
	return []Policy{
		{
			Name:  "fair-least-loaded",
			About: "as fair, but blind to caches",
			order: newFair, limiter: adaptive, placement: placement.LeastLoaded{},
		},
		{
			Name:  "fair-fixed",
			About: "as fair, but with the slots of the release note as a fixed limit",
			order: newFair, limiter: fixed, placement: placement.Affinity{},
		},
		{
			Name:    "deficit-robin",
			About:   "one dispatcher per upstream, deficit round robin at each, adaptive limits",
			order:   func() share.Order[fleet.Number] { return &share.DeficitRoundRobin[fleet.Number]{} },
			limiter: adaptive, placement: placement.Affinity{},
		},
	}
}

// PolicyByName returns a policy or variant, and false when there is none of
// that name.
func PolicyByName(name string) (Policy, bool) {
	for _, policy := range append(Policies(), Variants()...) {
		if policy.Name == name {
			return policy, true
		}
	}
	return Policy{}, false
}
