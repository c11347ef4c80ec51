package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

const (
	// chargeInterval is the interval between charges for running requests. With
	// 16 requests at 25 tokens a second, the service of an account is off by at
	// most 100 tokens, a quarter of a typical request.
	chargeInterval = 250 * time.Millisecond
	// sampleWeight is the weight of a new sample in the means of a costModel.
	sampleWeight = 0.05
	// defaultTokensPerSecond is an engine's rate for a request in a full batch, 41 ms
	// a token. It applies before the first sample.
	defaultTokensPerSecond = 25
)

// costModel predicts the cost of a running request at one upstream from its
// duration. It is an exponentially weighted linear regression over ended
// requests. The intercept is the cost of the prompt, which is charged as soon as
// it is computed. A plain ratio of cost to time would give short requests a
// higher rate than long ones, because of the cost of their prompts.
type costModel struct {
	hasSamples bool
	// Exponentially weighted means; times are in seconds.
	meanTime, meanCost, meanTimeSquared, meanTimeCost float64
}

// add adds the final cost and duration of an ended request.
func (m *costModel) add(cost fleet.Tokens, duration time.Duration) {
	if cost <= 0 || duration <= 0 {
		return
	}
	x, y := duration.Seconds(), float64(cost)
	weight := sampleWeight
	if !m.hasSamples {
		weight = 1
	}
	m.hasSamples = true
	m.meanTime += weight * (x - m.meanTime)
	m.meanCost += weight * (y - m.meanCost)
	m.meanTimeSquared += weight * (x*x - m.meanTimeSquared)
	m.meanTimeCost += weight * (x*y - m.meanTimeCost)
}

// expectedCost returns the expected cost so far of a request that has run for
// elapsed. The cost starts at initial if that is positive, as for a request that
// was taken over. Before the first sample it grows at the default rate up to
// estimate; otherwise accounts would seem unserved until the first answers end.
func (m *costModel) expectedCost(initial, estimate fleet.Tokens, elapsed time.Duration) fleet.Tokens {
	if !m.hasSamples {
		return min(fleet.Tokens(defaultTokensPerSecond*elapsed.Seconds()), estimate)
	}
	intercept, slope := m.regression()
	if initial > 0 {
		intercept = float64(initial)
	}
	return fleet.Tokens(intercept + slope*elapsed.Seconds())
}

// regression returns the cost at the start and the cost per second. If the
// durations vary too little for a regression, the slope is the ratio of the means
// and the intercept zero.
func (m *costModel) regression() (intercept, slope float64) {
	const minVariation = 0.01
	slope = m.meanCost / m.meanTime
	variance := m.meanTimeSquared - m.meanTime*m.meanTime
	if variance > minVariation*m.meanTime*m.meanTime {
		slope = min(max((m.meanTimeCost-m.meanTime*m.meanCost)/variance, 0), slope)
	}
	return m.meanCost - slope*m.meanTime, slope
}

// chargeRunning charges running requests their expected cost so far. If requests
// were charged only at their end, accounts whose requests are almost done would
// seem to have received as little as those whose requests have just begun, and
// the gap in service between accounts would be twice as wide. Routers know the
// true costs, but reporting them four times a second would exceed the bandwidth
// allowed for control messages. The release of a slot corrects the difference.
func (d *Dispatcher[O, L, P]) chargeRunning(now time.Time) {
	if now.Sub(d.lastCharged) < chargeInterval {
		return
	}
	d.lastCharged = now
	charges := make(map[accountUse]fleet.Tokens)
	for _, g := range d.grants {
		u := d.upstreams[g.upstream]
		if u == nil {
			continue
		}
		if cost := u.costs.expectedCost(g.initialCost, g.estimate, now.Sub(g.grantedAt)); cost > g.charged {
			charges[accountUse{g.service, g.account}] += cost - g.charged
			g.charged = cost
		}
	}
	// Sorted, so that ties between accounts are broken deterministically.
	for _, key := range slices.SortedFunc(maps.Keys(charges), accountUse.compare) {
		d.service(key.service).policy.AddService(key.account, charges[key])
	}
}

// accountUse identifies an account at a service.
type accountUse struct{ service, account fleet.ShortID }

func (u accountUse) compare(other accountUse) int {
	return cmp.Or(cmp.Compare(u.service, other.service), cmp.Compare(u.account, other.account))
}
