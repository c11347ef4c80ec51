package deployment

import (
	"time"

	"nutmeglock.example/nutmeglock/follow"
	"nutmeglock.example/nutmeglock/registry"
)

const (
	// startupPollInterval is how long after its start a router that can serve doesn't poll the
	// store. Routers connect to each other within about a second and then also get updates
	// from one another. The strictest bound of the users on the delay of an update is 2 s.
	startupPollInterval = 1500 * time.Millisecond
	// upstreamGatherTime is how long changes of the list of upstreams are gathered. A release
	// changes it many times a second, and each change would cost a call to the store by each
	// router that follows it, and a message to all others.
	upstreamGatherTime = 200 * time.Millisecond
)

// addFollowers adds the actors that keep the state up to date, and those that run periodically.
func (r *Router) addFollowers() {
	configurations := &follow.Follower[OperatorChange, registry.Revision]{
		Name: "configuration", Feed: r.options.OperatorFeed, Sink: operatorSink{r.state}, Log: r.options.Log,
		Wait: follow.MaxWait(r.options.RecoveryTime), PollInterval: r.pollInterval, History: r.options.History,
	}
	upstreams := &follow.Follower[registry.Change, registry.Revision]{
		Name: "upstreams", Feed: r.options.UpstreamFeed, Sink: upstreamSink{r.state, r.mesh}, Log: r.options.Log,
		Wait: follow.MaxWait(r.options.RecoveryTime), PollInterval: r.pollInterval,
		Gather:        upstreamGatherTime,
		ReadRequested: func() bool { return r.mesh.lists.readRequested.Swap(false) },
		Confirmed:     r.state.advanceUpstreams,
		Known: func(revision registry.Revision) registry.Revision {
			return max(revision, r.state.upstreamPosition().Known)
		},
	}
	r.actors = append(r.actors,
		actor{"configuration follower", configurations.Run},
		actor{"upstream follower", upstreams.Run},
		actor{"connection sweep", r.sweepConnections}, actor{"refusal summaries", r.logRefusals})
}

// pollInterval returns how long the router need not poll the tables of the store.
//
// A fleet starts together with its upstreams. Until a router is connected to those that
// follow the store for all, it would get each new upstream from the store: 430 calls from
// 91 routers in three seconds. So a router that can serve doesn't poll for a moment.
func (r *Router) pollInterval() time.Duration {
	if r.state.Ready() && time.Since(r.startedAt) < startupPollInterval {
		return startupPollInterval
	}
	return r.mesh.group.PollInterval()
}
