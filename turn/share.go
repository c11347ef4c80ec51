package turn

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/share"
)

// turnover is how often what waits is replaced within the service window:
// requests wait for an eighth to a third of a second before they are refused.
const turnover = 5

// claimant is an account with what it got of late, what it asked for, and what its
// routers refused beyond that by themselves.
type claimant struct{ served, asked, shed float64 }

func (s Standing) claimant() claimant {
	return claimant{served: s.Served, asked: s.Served + s.Denied + turnover*float64(s.Waiting), shed: s.Shed}
}

// claims are what all accounts of a service got of late and asked for.
type claims struct {
	// level is the service, in tokens of late, up to which all accounts could have
	// been served by what was served in all. Those that asked for less got it all;
	// the rest share the remainder evenly.
	level float64
	// lacking is how many accounts have work that isn't served.
	lacking int
	// pressure is the part of what was asked of late that wasn't served.
	pressure float64
	// heldBack are the accounts that their routers hold back, and right is the level of
	// what the engines have done at most.
	heldBack []claimant
	right    float64
}

// share returns the service that an account has a right to while others lack
// something. It is infinite while no other does.
//
// It answers several accounts that each ask for more than their share, while
// small ones lack something for a moment. Measured by the least served account,
// all of the large ones have had too much, and are held back alike: then one that
// sits at all routers gets four times what one at a single router gets.
func (c claims) share(lacks bool) float64 {
	if c.lacking == 0 || (c.lacking == 1 && lacks) {
		return math.Inf(1)
	}
	return c.level
}

// claims returns those of all accounts that are known here.
func (p *Pool) claims(now time.Time) claims {
	claimants := make([]claimant, 0, len(p.accounts)+len(p.elsewhere))
	out := claims{}
	collect := func(s Standing) {
		c := s.claimant()
		claimants = append(claimants, c)
		if s.lacks() {
			out.lacking++
		}
		if c.isHeldBack() {
			out.heldBack = append(out.heldBack, c)
		}
	}
	for _, a := range p.accounts {
		collect(a.total(now))
	}
	for key, there := range p.elsewhere {
		if !p.keys[key] {
			collect(there)
		}
	}
	served, asked := 0.0, 0.0
	claimed := make([]float64, 0, len(claimants))
	for _, c := range claimants {
		served += c.served
		asked += c.asked
		claimed = append(claimed, c.asked)
	}
	if asked > 0 {
		out.pressure = 1 - served/asked
	}
	out.level = share.Level(claimed, served)
	p.most.Raise(now, peakMemory, served)
	if len(out.heldBack) > 0 {
		out.right = rightOf(claimants, p.most.At(now, peakMemory))
	}
	return out
}
