package deployment

import (
	"context"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

// handleRestore handles that the list of upstreams was found to come from a restored store.
func (s *State) handleRestore(source string) {
	restore := s.directory.TakeRestore()
	if restore == nil {
		return
	}
	s.wasRestored.Store(true)
	s.options.Log.Warn("store restored from a copy", "era", restore.After.Era(), "era-before", restore.Before.Era(),
		"revision", restore.After.Number(), "revision-before", restore.Before.Number(), "from", source, "kept", len(restore.Kept))
	for _, c := range restore.Kept {
		s.options.Log.Info("departed upstream ignored", "upstream", c.Upstream.ID, "service", c.Upstream.Service, "life", c.Upstream.StartTime,
			"draining", c.Upstream.Draining, "gone", c.Removed, "era", c.Revision.Era(), "revision", c.Revision.Number())
	}
	if s.options.OnRestore != nil {
		go s.options.Guard.Run(recovery.Update, s.options.OnRestore, "from", source)
	}
	s.notify(source) // also if nothing has changed: others may not be able to read the store
	if source == storeSource {
		s.announceKept()
	}
}

// announceKept passes on the upstreams that have left, though the restored store still lists them: a router that has
// started since can't know.
func (s *State) announceKept() {
	kept := s.keptUpstreams()
	if len(kept) > 0 && s.options.OnKept != nil {
		go s.options.Guard.Run(recovery.Update, func() { s.options.OnKept(kept) })
	}
}

// keptUpstreams returns the upstreams that have left, though the restored store still lists them.
func (s *State) keptUpstreams() []*schema.UpstreamChange {
	now := time.Now()
	var out []*schema.UpstreamChange
	for _, c := range s.directory.Kept() {
		out = append(out, registry.Encode(now, c))
	}
	return out
}

// applyKept applies what another router knows of upstreams that have left.
func (s *State) applyKept(from fleet.RouterID, kept []*schema.UpstreamChange) {
	now := time.Now()
	changes := make([]registry.Change, len(kept))
	for i, c := range kept {
		changes[i] = registry.Decode(now, c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChanges(s.directory.ApplyKept(now, changes), routerSource(from))
}

// announceRewritten adds to an announcement what tells configurations of one version apart. There are none before the
// store was restored.
func (s *State) announceRewritten(a *schema.Announcement) {
	if !s.wasRestored.Load() {
		return
	}
	current := s.currentConfiguration()
	a.ConfigurationRevision, a.ConfigurationEra = current.Revision.Number(), uint32(current.Revision.Era())
}

// fetchRewritten fetches a configuration whose version this router has with another content, from before the store was
// restored.
func (m *mesh) fetchRewritten(from fleet.RouterID, a *schema.Announcement) {
	held := m.state.currentConfiguration()
	era := registry.Era(a.GetConfigurationEra())
	if a.GetConfigurationVersion() != uint64(held.Version) || era <= held.Revision.Era() || held.Version == 0 {
		return
	}
	if !m.isFetchingRewritten.CompareAndSwap(false, true) {
		return
	}
	go m.guard.Run(recovery.Update, func() {
		defer m.isFetchingRewritten.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		size, err := m.fetchConfiguration(ctx, from, uint64(held.Version)-1)
		m.log.Info("asked another router", "other", from, "update", "configuration written again", "error", err, "era", era, "bytes", size)
	}, "other", from)
}

// announceKept sends all connected routers the upstreams that have left. In a large fleet only the routers that follow the store
// do so, as all of them know the same.
func (m *mesh) announceKept(kept []*schema.UpstreamChange) {
	if m.group.PollInterval() > 0 {
		return
	}
	for _, router := range m.peers.Routers() {
		m.peers.Send(router, &schema.Batch{KeptUpstreams: kept})
	}
}
