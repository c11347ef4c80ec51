package turn

import (
	"slices"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// hasSeveralVersions reports whether upstreams have different software versions.
func hasSeveralVersions(upstreams []registry.Upstream) bool {
	for i := range upstreams {
		if upstreams[i].Software != upstreams[0].Software {
			return true
		}
	}
	return false
}

// isResumption reports whether a request takes up a stream while the version of the upstream
// matters. Fewer upstreams can serve it than a new request, and refusing it would lose what its
// caller has of the answer, so it goes first.
func (p *Pool) isResumption(r *Request) bool { return r.Software != "" && p.isMixed }

// suits reports whether an upstream has the software version that a request needs, and is where it may be
// served.
func (e *engine) suits(r *Request) bool {
	return (r.Software == "" || e.upstream.Software == r.Software) && r.Allows(e.upstream.DataCenter)
}

// HasSoftware reports whether an upstream that accepts requests has a software version.
func (p *Pool) HasSoftware(software fleet.SoftwareVersion) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasSoftware(software)
}

func (p *Pool) hasSoftware(software fleet.SoftwareVersion) bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool { return e.upstream.Software == software })
}

// noUpstream returns the refusal of a request for which there is no upstream. If only the version is
// missing, the caller isn't asked to return: that version is being replaced.
func (p *Pool) noUpstream(t *Ticket) *RefusedError {
	if t.request.Software == "" || len(p.engines) == 0 || p.hasSoftware(t.request.Software) {
		lack := LackUpstream
		if len(p.engines) == 0 && p.leavingCount > 0 {
			lack = LackLeaving
		}
		return &RefusedError{NoUpstream: true, Lack: lack, RetryAfter: noUpstreamRetryAfter}
	}
	return &RefusedError{NoUpstream: true, Lack: LackSoftware, NoSoftware: true}
}

// startResumption starts the first waiting request that takes up a stream and has room, and reports
// whether there was one. An account above its fair share waits as with new requests: by taking up
// streams again and again it would get the service of others.
func (p *Pool) startResumption(now time.Time, shares fairShares, accounts []waitingAccount) bool {
	view := p.view(now, maxBacklogFactor)
	most := shares.fairShare(true) + serviceTolerance
	for _, a := range accounts {
		if a.served > most {
			break
		}
		for _, t := range a.queue {
			if p.isResumption(&t.request) && p.tryStart(view, t) {
				return true
			}
		}
	}
	return false
}
