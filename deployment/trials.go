package deployment

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/quarantine"
	"nutmeglock.example/nutmeglock/rendezvous"
)

const (
	// trialMethod is the method of calls to other routers that asks for a trial.
	trialMethod = "deployment.quarantine-trial"
	// trialTimeout bounds such a call, as a request waits for it.
	trialTimeout = 150 * time.Millisecond
)

// trialGranter grants the trials of requests whose term has ended. For each trial one router of the fleet
// does so, whichever router has the request.
type trialGranter struct {
	self fleet.RouterID
	// otherRouters returns the other routers that are connected, and knownRouters all others.
	otherRouters func() []fleet.RouterID
	knownRouters func() []fleet.RouterID
	call         func(ctx context.Context, to fleet.RouterID, method string, params, result any) error
	// granted are the trials that this router has granted, and asked those that it has asked for.
	granted, asked quarantine.Trials
}

// trialRequest asks for the trial of a window.
type trialRequest struct {
	ID     uint64 `json:"id"`
	Window int    `json:"window"`
}

type trialResponse struct {
	Granted bool `json:"granted"`
}

// wasAsked reports whether this router has asked for a trial. One of its requests has it, or another one of
// the fleet.
func (g *trialGranter) wasAsked(now time.Time, id uint64, window int) bool {
	return g.asked.IsGranted(now, id, window)
}

// ask returns whether this router may send a request as a trial. It asks once for each trial.
func (g *trialGranter) ask(ctx context.Context, now time.Time, id uint64, window int) bool {
	return g.asked.Grant(now, id, window) && g.askOwner(ctx, id, window)
}

func (g *trialGranter) askOwner(ctx context.Context, id uint64, window int) bool {
	request := trialRequest{ID: id, Window: window}
	owner := rendezvous.Pick(rendezvous.KeyOfNumber("trial", id+uint64(window)), append(g.otherRouters(), g.self))
	if owner == g.self {
		return g.grant(request)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	var response trialResponse
	return g.call(ctx, owner, trialMethod, request, &response) == nil && response.Granted
}

// grant grants a trial once. A router that is cut off from most others grants none: they may, too.
func (g *trialGranter) grant(r trialRequest) bool {
	return !g.isCutOff() && g.granted.Grant(time.Now(), r.ID, r.Window)
}

// isCutOff reports whether this router isn't connected with most of the fleet.
func (g *trialGranter) isCutOff() bool { return 2*(len(g.otherRouters())+1) <= len(g.knownRouters())+1 }

// answer answers another router's request.
func (g *trialGranter) answer(_ context.Context, params json.RawMessage) (any, error) {
	var request trialRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decoding a request for a trial")
	}
	return trialResponse{Granted: g.grant(request)}, nil
}
