package deployment

import (
	"context"
	"encoding/json"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

// Unexported functions that the tests in package deployment_test use.
var (
	EncodeConfiguration = encodeConfiguration
	DecodeConfiguration = decodeConfiguration
	Deflate             = deflate
	Inflate             = inflate
	NewYieldingListener = newYieldingListener
	NewMesh             = newMesh
)

// Mesh exports mesh.
type Mesh = mesh

// Peers returns the connections to the other routers.
func (m *mesh) Peers() *peer.Peers { return m.peers }

// Receive handles a batch of messages from another router.
func (m *mesh) Receive(from fleet.RouterID, batch *schema.Batch) { m.receive(from, batch) }

// AnnounceUpdate announces an update that has taken effect at this router.
func (m *mesh) AnnounceUpdate(source string) { m.announceUpdate(source) }

// Quarantine returns the detector of requests that crash upstreams.
func (m *mesh) Quarantine() forward.Quarantine { return &m.crashMonitor }

// AnswerKnowledgeRequest answers another router's request for newer versions.
func (m *mesh) AnswerKnowledgeRequest(request string) (any, error) {
	return m.answerKnowledgeRequest(context.Background(), json.RawMessage(request))
}
