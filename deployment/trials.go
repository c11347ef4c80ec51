package deployment

import (
	"context"
	"encoding/json"
	"sync"
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
	trials       quarantine.Trials

	mu sync.Mutex
	// denied holds the latest window of each trial that this router hasn't got.
	denied map[uint64]int
}

// maxDenied bounds the trials that are remembered as denied.
const maxDenied = 1024

// trialRequest asks for the trial of a window.
type trialRequest struct {
	ID     uint64 `json:"id"`
	Window int    `json:"window"`
}

type trialResponse struct {
	Granted bool `json:"granted"`
}

// isDenied reports whether this router has asked for a trial in vain.
func (g *trialGranter) isDenied(id uint64, window int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return window <= g.denied[id]
}

func (g *trialGranter) deny(id uint64, window int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.denied == nil || len(g.denied) >= maxDenied {
		g.denied = make(map[uint64]int)
	}
	g.denied[id] = max(g.denied[id], window)
}

// ask returns whether this router may send a request as a trial. It asks once for each trial.
func (g *trialGranter) ask(ctx context.Context, id uint64, window int) bool {
	if g.isDenied(id, window) {
		return false
	}
	granted := g.askOwner(ctx, id, window)
	g.deny(id, window) // this request has the trial, or another one of the fleet
	return granted
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
	return !g.isCutOff() && g.trials.Grant(r.ID, r.Window)
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
