package daemon

import (
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
)

// administrationExtension serves the administration API, metrics and health checks.
type administrationExtension struct{}

func (administrationExtension) Priority() Priority { return PriorityAdministration }

func (administrationExtension) Extend(p *Parts) error {
	handler := operator.New(operator.Options{
		Keys: p.Settings.GetOperatorKeys(), Store: p.NoteStore,
		Publisher: note.NewPublisher(note.PublisherOptions{Store: p.NoteStore, Replica: p.Notes, Timer: p.Timer}),
		Replica:   p.Notes, State: p.State, Log: p.Log,
		Metrics:  promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{}),
		Registry: p.Registry,
	})
	pool := &caller.Pool{Bytes: administrationBytes, MaxConnections: administrationConnections}
	p.AddActor("administration", serverActor(newServer(p, handler), &caller.Listener{Listener: p.Listeners.Admin, Pool: pool}))
	return nil
}
