package deployment

import (
	"context"
	"encoding/json"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/forward"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

// What the tests of the package see besides its public parts.
var (
	EncodeConfiguration = encodeConfiguration
	DecodeConfiguration = decodeConfiguration
	Deflate             = deflate
	Inflate             = inflate
	NewListener         = newListener
	NewMesh             = newMesh
)

// Mesh is mesh.
type Mesh = mesh

// Peers returns the connections to the other routers.
func (m *mesh) Peers() *peer.Peers { return m.peers }

// Receive is receive.
func (m *mesh) Receive(from fleet.RouterID, batch *schema.Batch) { m.receive(from, batch) }

// Learned is learned.
func (m *mesh) Learned(from string) { m.learned(from) }

// Quarantine returns what is known of requests that crash upstreams.
func (m *mesh) Quarantine() forward.Quarantine { return &m.crashes }

// Answer answers a question of another router.
func (m *mesh) Answer(question string) (any, error) {
	return m.answer(context.Background(), json.RawMessage(question))
}
