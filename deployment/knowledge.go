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
	// UpstreamEra and EvacuationEra are the eras of the revisions; zero in requests of older builds.
	UpstreamEra   registry.Era `json:"upstream-era,omitempty"`
	EvacuationEra registry.Era `json:"evacuation-era,omitempty"`
	// ConfigurationEncoding is the encoding in which the requesting router can read a
	// configuration; empty means as part of Knowledge.
	ConfigurationEncoding string `json:"configuration-encoding,omitempty"`
	// KnowledgeEncoding is an encoding in which the requesting router can read all else; empty
	// means only the plain one.
	KnowledgeEncoding string `json:"knowledge-encoding,omitempty"`
}

// revision returns the revision that a request names by its era and number.
func (r *knowledgeRequest) revision(era registry.Era, number uint64) registry.Revision {
	if number == notRequested {
		return registry.Revision(notRequested)
	}
	return registry.NewRevision(era, number)
}

// minCompressedKnowledge is the size from which on Knowledge is compressed, in bytes.
const minCompressedKnowledge = 1 << 10

// knowledgeResponse is the answer to a knowledgeRequest.
type knowledgeResponse struct {
	// Knowledge is an encoded schema.Knowledge, unless it is in CompressedKnowledge.
	Knowledge           []byte `json:"knowledge"`
	CompressedKnowledge []byte `json:"compressed-knowledge,omitempty"`
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
	configuration, err := response.decodeConfiguration()
	if configuration != nil {
		m.state.Configure(decodeConfiguration(configuration), routerSource(from))
	}
	return response.size(), err
}

// fetchUpstreams fetches and applies the changes of the list of upstreams after the held
// revision from another router. It returns the size of the answer in bytes.
func (m *mesh) fetchUpstreams(ctx context.Context, from fleet.RouterID, _ uint64) (int, error) {
	held := m.state.upstreamPosition().Known
	request := knowledgeRequest{
		ConfigurationVersion: notRequested, UpstreamRevision: held.Number(), UpstreamEra: held.Era(), EvacuationRevision: notRequested,
		KnowledgeEncoding: deflateEncoding,
	}
	knowledge, size, err := m.fetchKnowledge(ctx, from, request)
	if err == nil {
		m.state.ApplyUpstreamsFromPeer(knowledge, routerSource(from))
	}
	return size, err
}

// fetchKnowledge returns another router's answer and its size in bytes.
func (m *mesh) fetchKnowledge(ctx context.Context, from fleet.RouterID, request knowledgeRequest) (*schema.Knowledge, int, error) {
	var response knowledgeResponse
	if err := m.peers.Call(ctx, from, knowledgeMethod, request, &response); err != nil {
		return nil, 0, err
	}
	knowledge, err := response.decodeKnowledge()
	return knowledge, response.size(), err
}

// routerSource returns the source in log lines of an update from another router.
func routerSource(id fleet.RouterID) string { return "router " + string(id) }

// size returns the size of the answer in bytes.
func (r *knowledgeResponse) size() int {
	return len(r.Knowledge) + len(r.CompressedKnowledge) + len(r.Configuration)
}

// decodeKnowledge returns all of an answer but a compressed configuration.
func (r *knowledgeResponse) decodeKnowledge() (*schema.Knowledge, error) {
	knowledge := &schema.Knowledge{}
	if len(r.CompressedKnowledge) > 0 {
		return knowledge, inflate(r.CompressedKnowledge, knowledge)
	}
	return knowledge, eris.Wrap(proto.Unmarshal(r.Knowledge, knowledge), "decoding another router's knowledge")
}

// decodeConfiguration returns the configuration of an answer, nil if it has none.
func (r *knowledgeResponse) decodeConfiguration() (*schema.Configuration, error) {
	if len(r.Configuration) > 0 {
		configuration := &schema.Configuration{}
		if err := inflate(r.Configuration, configuration); err != nil {
			return nil, err
		}
		return configuration, nil
	}
	knowledge, err := r.decodeKnowledge()
	return knowledge.GetConfiguration(), err
}

// setKnowledge encodes an answer, compressed if it is large and the requesting router can read that.
func (r *knowledgeResponse) setKnowledge(knowledge *schema.Knowledge, encoding string) (err error) {
	if encoding == deflateEncoding && proto.Size(knowledge) >= minCompressedKnowledge {
		r.CompressedKnowledge, err = deflate(knowledge)
		return err
	}
	r.Knowledge, err = proto.Marshal(knowledge)
	return eris.Wrap(err, "encoding knowledge")
}

// answerKnowledgeRequest returns the updates after the versions in another router's request.
func (m *mesh) answerKnowledgeRequest(_ context.Context, params json.RawMessage) (any, error) {
	var request knowledgeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decoding a question")
	}
	var response knowledgeResponse
	knowledge := m.state.knowledgeAfter(request.revision(request.UpstreamEra, request.UpstreamRevision))
	knowledge.Evacuations = m.state.evacuationsAfter(request.revision(request.EvacuationEra, request.EvacuationRevision))
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
	if err := response.setKnowledge(knowledge, request.KnowledgeEncoding); err != nil {
		return nil, err
	}
	return response, nil
}
