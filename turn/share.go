package turn

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/share"
)

// queueTurnover is how often the queued requests are replaced within serviceWindow: a
// request waits for an eighth to a third of a second before it is refused.
const queueTurnover = 5

// accountDemand is an account's recent service, the demand that reached its routers' pools,
// and the tokens that its routers shed before that.
type accountDemand struct{ served, requested, shed float64 }

func (u Usage) demand() accountDemand {
	return accountDemand{served: u.Served, requested: u.Served + u.Refused + queueTurnover*float64(u.WaitingTokens), shed: u.Shed}
}

// fairShares is the recent service and demand of all accounts of a service.
type fairShares struct {
	// limit is the max-min fair limit, in tokens, for sharing the total service: accounts
	// with less demand could have been served in full, and the others split the rest
	// evenly.
	limit float64
	// unmetAccounts is the number of accounts with unmet demand.
	unmetAccounts int
	// pressure is the unserved part of the recent demand.
	pressure float64
	// throttled are the accounts throttled by their routers. While there are any, peakLimit
	// is the fair limit for the recent peak service.
	throttled []accountDemand
	peakLimit float64
}

// fairShare returns the service that an account is entitled to while others have unmet
// demand, and infinity while no others have.
//
// The service of the least served account would be the wrong reference. While small accounts
// briefly have unmet demand, all large ones are above it and would be limited alike, and an
// account at all routers would get four times as much as one at a single router.
func (s fairShares) fairShare(hasUnmetDemand bool) float64 {
	if s.unmetAccounts == 0 || (s.unmetAccounts == 1 && hasUnmetDemand) {
		return math.Inf(1)
	}
	return s.limit
}

// fairShares returns the shares of all accounts that this pool knows.
func (p *Pool) fairShares(now time.Time) fairShares {
	demands := make([]accountDemand, 0, len(p.accounts)+len(p.remoteUsage))
	shares := fairShares{}
	collect := func(usage Usage) {
		d := usage.demand()
		demands = append(demands, d)
		if usage.hasUnmetDemand() {
			shares.unmetAccounts++
		}
		if d.isThrottled() {
			shares.throttled = append(shares.throttled, d)
		}
	}
	for _, a := range p.accounts {
		collect(a.totalUsage(now))
	}
	for key, usage := range p.remoteUsage {
		if !p.localKeys[key] {
			collect(usage)
		}
	}
	served, requested := 0.0, 0.0
	claims := make([]float64, 0, len(demands))
	for _, d := range demands {
		served += d.served
		requested += d.requested
		claims = append(claims, d.requested)
	}
	if requested > 0 {
		shares.pressure = 1 - served/requested
	}
	shares.limit = share.MaxMinLimit(claims, served)
	p.peakServed.Raise(now, peakMemory, served)
	if len(shares.throttled) > 0 {
		shares.peakLimit = peakFairLimit(demands, p.peakServed.At(now, peakMemory))
	}
	return shares
}
