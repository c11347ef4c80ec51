package turn

import (
	"cmp"
	"time"
)

// serviceTimeWeight is the weight of the latest request in the mean service time.
const serviceTimeWeight = 0.05

// recordServiceTime records how long an upstream took to serve a request.
func (p *Pool) recordServiceTime(took time.Duration) {
	if p.serviceTime == 0 {
		p.serviceTime = took
		return
	}
	p.serviceTime += time.Duration(serviceTimeWeight * float64(took-p.serviceTime))
}

// plainWait returns the expected time until a request of a service without caches gets its
// turn: that in which the upstreams serve the requests that go first. It is zero before any
// request was served. As no more may be in flight, one of them ends in the service time
// divided by their number. At a slow upstream a request counts as a part of one.
func (p *Pool) plainWait(now time.Time, r *Request) time.Duration {
	view := p.view(now, maxBacklogFactor)
	ahead, served := 1, 0
	for a := range p.accountsAhead(now, r.Account) {
		ahead += len(a.queue) + a.remote.WaitingTokens
	}
	for _, e := range p.engines {
		if r.isAvoided(now, e) || !r.Allows(e.upstream.DataCenter) {
			continue
		}
		if p.isOpen(view, e) {
			return 0
		}
		if p.detector.Usable(now, e.instance) {
			served += view.usualThousandths(e)
		}
	}
	return time.Duration(ahead) * p.serviceTime * thousandths / time.Duration(cmp.Or(served, thousandths))
}
