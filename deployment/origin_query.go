package deployment

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
	"nutmeglock.example/nutmeglock/recovery"
)

// originMethod is the method of calls to other routers that returns what they know of the origin of
// a stream.
const originMethod = "deployment.stream-origin"

const (
	// soleQueryTimeout bounds the query of other routers while this one knows of one version only,
	// and mixedQueryTimeout while it knows of several.
	soleQueryTimeout  = 60 * time.Millisecond
	mixedQueryTimeout = 250 * time.Millisecond
)

// query asks routers for the origin of a stream and returns the answers that arrive in time. It
// doesn't wait for the others once one has a record.
func (k *originKeeper) query(ctx context.Context, routers []fleet.RouterID, service fleet.ServiceID, key origin.Key, timeout time.Duration) []origin.Statement {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan *originResponse, len(routers))
	for _, router := range routers {
		go k.guard.Run(recovery.Message, func() { answers <- k.ask(ctx, router, service, key) }, "other", router)
	}
	var statements []origin.Statement
	for range routers {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			statements = append(statements, answer.statement())
			if answer.Recorded {
				return statements
			}
		case <-ctx.Done():
			return statements
		}
	}
	return statements
}

// originRequest asks a router for the origin of a stream.
type originRequest struct {
	Service fleet.ServiceID `json:"service"`
	Stream  []byte          `json:"stream"`
}

// originResponse is an origin.Statement.
type originResponse struct {
	Recorded bool                    `json:"recorded,omitempty"`
	Software fleet.SoftwareVersion   `json:"software-version,omitempty"`
	Versions []fleet.SoftwareVersion `json:"versions,omitempty"`
	Complete bool                    `json:"complete,omitempty"`
	Current  bool                    `json:"current,omitempty"`
}

func (r *originResponse) statement() origin.Statement {
	return origin.Statement{
		View:     origin.View{Versions: r.Versions, Complete: r.Complete, Current: r.Current},
		Recorded: r.Recorded, Software: r.Software,
	}
}

// ask asks one router and returns nil if it doesn't answer, or doesn't know the method.
func (k *originKeeper) ask(ctx context.Context, router fleet.RouterID, service fleet.ServiceID, key origin.Key) *originResponse {
	var response originResponse
	if err := k.call(ctx, router, originMethod, originRequest{Service: service, Stream: key[:]}, &response); err != nil {
		if ctx.Err() == nil {
			k.log.Info("stream origin not answered", "other", router, "error", err)
		}
		return nil
	}
	return &response
}

// answer answers another router's request.
func (k *originKeeper) answer(_ context.Context, params json.RawMessage) (any, error) {
	var request originRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decoding a request for the origin of a stream")
	}
	var key origin.Key
	if copy(key[:], request.Stream) != len(key) {
		return nil, eris.New("the stream of a request for its origin is too short")
	}
	s := k.statement(time.Now(), request.Service, key)
	return originResponse{Recorded: s.Recorded, Software: s.Software, Versions: s.Versions, Complete: s.Complete, Current: s.Current}, nil
}
