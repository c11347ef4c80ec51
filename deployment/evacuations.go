package deployment

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/evacuation"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

// ReplaceEvacuations replaces the evacuations by those in force as of a revision.
func (s *State) ReplaceEvacuations(inForce []evacuation.Change, as registry.Revision, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvacuations(s.evacuations.Replace(time.Now(), inForce, as), source)
	if due, ok := s.evacuations.NextLapse(); ok {
		time.AfterFunc(time.Until(due)+time.Millisecond, func() { s.options.Guard.RunControl(s.lapseEvacuations) })
	}
}

// lapseEvacuations ends the evacuations that the operator has not written again after a restore of the store.
func (s *State) lapseEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvacuations(s.evacuations.Lapse(time.Now()), "lacking in the restored store")
}

// ApplyEvacuations applies changes of the evacuations.
func (s *State) ApplyEvacuations(changes []evacuation.Change, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvacuations(s.evacuations.Apply(time.Now(), changes), source)
}

// applyAllEvacuations applies all changes of the evacuations that another router knows.
func (s *State) applyAllEvacuations(all []evacuation.Change, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvacuations(s.evacuations.ApplyAll(time.Now(), all), source)
}

// EvacuationRevision returns the revision of the latest change of the evacuations.
func (s *State) EvacuationRevision() registry.Revision { return s.evacuations.Revision() }

// applyEvacuations logs changes that have taken effect, and updates the pools.
func (s *State) applyEvacuations(changes []evacuation.Change, source string) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.options.Log.Info("evacuation changed", "data-centre", c.DataCenter, "ended", c.Ended, "era", c.Revision.Era(), "revision", c.Revision.Number(), "from", source)
	}
	s.refreshPools(time.Now())
	s.notify(source)
}

// withoutEvacuated returns the upstreams that aren't in an evacuated data centre. Those of a
// data centre whose evacuation has ended count as cold for coldDuration: they may have
// restarted meanwhile, and their load returns all at once.
func (s *State) withoutEvacuated(upstreams []registry.Upstream, coldDuration time.Duration) []registry.Upstream {
	if s.evacuations.Revision() == 0 {
		return upstreams // as on most days; lists are long and change often
	}
	kept := make([]registry.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if s.evacuations.IsEvacuated(u.DataCenter) {
			continue
		}
		if endedAt := s.evacuations.EndedAt(u.DataCenter); !endedAt.IsZero() && u.ColdUntil.Before(endedAt.Add(coldDuration)) {
			u.ColdUntil = endedAt.Add(coldDuration)
		}
		kept = append(kept, u)
	}
	return kept
}

// fetchEvacuations fetches and applies the evacuations of another router. It returns the size
// of the answer in bytes.
func (m *mesh) fetchEvacuations(ctx context.Context, from fleet.RouterID, heldRevision uint64) (int, error) {
	held := registry.Revision(heldRevision)
	request := knowledgeRequest{
		ConfigurationVersion: notRequested, UpstreamRevision: notRequested, EvacuationRevision: held.Number(), EvacuationEra: held.Era(),
	}
	knowledge, size, err := m.fetchKnowledge(ctx, from, request)
	if err == nil {
		m.state.applyAllEvacuations(decodeEvacuations(knowledge.GetEvacuations(), m.state.EvacuationRevision().Era()), routerSource(from))
	}
	return size, err
}

// evacuationsAfter returns the evacuations if they have changed after a revision.
func (s *State) evacuationsAfter(after registry.Revision) []*schema.EvacuationChange {
	if s.EvacuationRevision() <= after {
		return nil
	}
	var out []*schema.EvacuationChange
	for _, c := range s.evacuations.Changes() {
		out = append(out, &schema.EvacuationChange{
			DataCenter: string(c.DataCenter), Revision: c.Revision.Number(), Era: proto.Uint32(uint32(c.Revision.Era())), Ended: c.Ended,
		})
	}
	return out
}

// decodeEvacuations takes changes that tell no era as being of the given one.
func decodeEvacuations(in []*schema.EvacuationChange, era registry.Era) []evacuation.Change {
	var out []evacuation.Change
	for _, c := range in {
		out = append(out, evacuation.Change{
			DataCenter: fleet.DataCenterID(c.GetDataCenter()), Revision: registry.DecodeRevision(c.Era, c.GetRevision(), era), Ended: c.GetEnded(),
		})
	}
	return out
}
