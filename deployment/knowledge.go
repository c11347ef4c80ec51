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

// knowledgeMethod is the method of calls to other routers that returns newer versions.
const knowledgeMethod = "deployment.knowledge"

// notRequested in place of a version in a request excludes this kind of knowledge from the
// answer.
const notRequested = math.MaxUint64

// knowledgeRequest requests the updates after the versions that the requesting router holds.
type knowledgeRequest struct {
	ConfigurationVersion uint64 `json:"configuration-version"`
	UpstreamRevision     uint64 `json:"upstream-revision"`
	// EvacuationRevision is zero in requests of routers that don't know of evacuations.
	EvacuationRevision uint64 `json:"evacuation-revision,omitempty"`
	// ConfigurationEncoding is the encoding in which the requesting router can read a
	// configuration; empty means as part of Knowledge.
	ConfigurationEncoding string `json:"configuration-encoding,omitempty"`
}

// knowledgeResponse is the answer to a knowledgeRequest.
type knowledgeResponse struct {
	// Knowledge is an encoded schema.Knowledge.
	Knowledge []byte `json:"knowledge"`
	// Configuration is a schema.Configuration in the requested encoding.
	Configuration []byte `json:"configuration,omitempty"`
}

// fetchConfiguration fetches and applies the configuration of another router if it is newer
// than the held version. It returns the size of the answer in bytes.
func (m *mesh) fetchConfiguration(ctx context.Context, from fleet.RouterID, heldVersion uint64) (int, error) {
	var response knowledgeResponse
	request := knowledgeRequest{ConfigurationVersion: heldVersion, UpstreamRevision: notRequested, EvacuationRevision: notRequested, ConfigurationEncoding: deflateEncoding}
	if err := m.peers.Call(ctx, from, knowledgeMethod, request, &response); err != nil {
		return 0, err
	}
	configuration, err := response.configurationMessage()
	if configuration != nil {
		m.state.Configure(decodeConfiguration(configuration), routerSource(from))
	}
	return len(response.Knowledge) + len(response.Configuration), err
}

// fetchUpstreams fetches and applies the changes of the list of upstreams after the held
// revision from another router. It returns the size of the answer in bytes.
func (m *mesh) fetchUpstreams(ctx context.Context, from fleet.RouterID, heldRevision uint64) (int, error) {
	var response knowledgeResponse
	request := knowledgeRequest{ConfigurationVersion: notRequested, UpstreamRevision: heldRevision, EvacuationRevision: notRequested}
	if err := m.peers.Call(ctx, from, knowledgeMethod, request, &response); err != nil {
		return 0, err
	}
	var knowledge schema.Knowledge
	if err := proto.Unmarshal(response.Knowledge, &knowledge); err != nil {
		return len(response.Knowledge), eris.Wrap(err, "decoding changes of the list of upstreams")
	}
	m.state.ApplyUpstreamsFromPeer(knowledge.GetUpstreams(), registry.Revision(knowledge.GetUpstreamRevision()), routerSource(from))
	return len(response.Knowledge), nil
}

// routerSource returns the source in log lines of an update from another router.
func routerSource(id fleet.RouterID) string { return "router " + string(id) }

// configurationMessage returns the decoded configuration of an answer, nil if it has none.
func (r *knowledgeResponse) configurationMessage() (*schema.Configuration, error) {
	if len(r.Configuration) > 0 {
		return inflate(r.Configuration)
	}
	var knowledge schema.Knowledge
	err := proto.Unmarshal(r.Knowledge, &knowledge)
	return knowledge.GetConfiguration(), eris.Wrap(err, "decoding another router's knowledge")
}

// answerKnowledgeRequest returns the updates after the versions in another router's request.
func (m *mesh) answerKnowledgeRequest(_ context.Context, params json.RawMessage) (any, error) {
	var request knowledgeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decoding a question")
	}
	var response knowledgeResponse
	knowledge := m.state.knowledgeAfter(registry.Revision(request.UpstreamRevision))
	knowledge.Evacuations = m.state.evacuationsAfter(registry.Revision(request.EvacuationRevision))
	current := m.state.currentConfiguration()
	switch {
	case uint64(current.Version) <= request.ConfigurationVersion:
	case request.ConfigurationEncoding == deflateEncoding:
		data, err := m.encodingCache.encode(current)
		if err != nil {
			return nil, err
		}
		response.Configuration = data
	default:
		knowledge.Configuration = encodeConfiguration(current)
	}
	data, err := proto.Marshal(knowledge)
	if err != nil {
		return nil, eris.Wrap(err, "encoding knowledge")
	}
	response.Knowledge = data
	return response, nil
}
