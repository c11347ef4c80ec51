package deployment

import (
	"context"
	"encoding/json"
	"math"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

// knowledgeMethod asks another router for what is newer there.
const knowledgeMethod = "deployment.knowledge"

// nothing in a question stands for a kind of knowledge that isn't asked for.
const nothing = math.MaxUint64

// question is what a router holds that asks for what is newer.
type question struct {
	Configuration uint64 `json:"configuration-version"`
	Upstreams     uint64 `json:"upstream-revision"`
	// Encoding is how the router that asks can read a configuration; empty means as
	// part of Knowledge.
	Encoding string `json:"configuration-encoding,omitempty"`
}

// answerBody carries a schema.Knowledge.
type answerBody struct {
	Knowledge []byte `json:"knowledge"`
	// Configuration is a schema.Configuration in the encoding that was asked for.
	Configuration []byte `json:"configuration,omitempty"`
}

// fetchConfiguration takes the configuration of another router.
func (m *mesh) fetchConfiguration(ctx context.Context, from fleet.RouterID, held uint64) (int, error) {
	var body answerBody
	q := question{Configuration: held, Upstreams: nothing, Encoding: deflated}
	if err := m.peers.Call(ctx, from, knowledgeMethod, q, &body); err != nil {
		return 0, err
	}
	configuration, err := body.configuration()
	if configuration != nil {
		m.state.Configure(decodeConfiguration(configuration), fromRouter(from))
	}
	return len(body.Knowledge) + len(body.Configuration), err
}

// fetchUpstreams takes the changes of the list of upstreams from another router.
func (m *mesh) fetchUpstreams(ctx context.Context, from fleet.RouterID, held uint64) (int, error) {
	var body answerBody
	q := question{Configuration: nothing, Upstreams: held}
	if err := m.peers.Call(ctx, from, knowledgeMethod, q, &body); err != nil {
		return 0, err
	}
	var knowledge schema.Knowledge
	if err := proto.Unmarshal(body.Knowledge, &knowledge); err != nil {
		return len(body.Knowledge), eris.Wrap(err, "decoding changes of the list of upstreams")
	}
	m.state.ReceiveUpstreams(knowledge.GetUpstreams(), registry.Revision(knowledge.GetUpstreamRevision()), fromRouter(from))
	return len(body.Knowledge), nil
}

// fromRouter names another router as a source in log lines.
func fromRouter(id fleet.RouterID) string { return "router " + string(id) }

// configuration returns the configuration of an answer, nil when it has none.
func (b *answerBody) configuration() (*schema.Configuration, error) {
	if len(b.Configuration) > 0 {
		return inflate(b.Configuration)
	}
	var knowledge schema.Knowledge
	err := proto.Unmarshal(b.Knowledge, &knowledge)
	return knowledge.GetConfiguration(), eris.Wrap(err, "decoding another router's knowledge")
}

// answer returns to another router what is newer here.
func (m *mesh) answer(_ context.Context, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decoding a question")
	}
	var body answerBody
	knowledge := m.state.updates(registry.Revision(q.Upstreams))
	held := m.state.held()
	switch {
	case uint64(held.Version) <= q.Configuration:
	case q.Encoding == deflated:
		data, err := m.encodings.encode(held)
		if err != nil {
			return nil, err
		}
		body.Configuration = data
	default:
		knowledge.Configuration = encodeConfiguration(held)
	}
	data, err := proto.Marshal(knowledge)
	if err != nil {
		return nil, eris.Wrap(err, "encoding knowledge")
	}
	body.Knowledge = data
	return body, nil
}
