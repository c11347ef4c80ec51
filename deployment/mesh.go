package deployment

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/home"
	"nutmeglock.example/nutmeglock/peer"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	// knowledgeMethod asks another router for what is newer there.
	knowledgeMethod = "deployment.knowledge"
	// patience is how long a router that hears of something newer waits for the
	// store to tell it, before it asks the other router. The store tells all
	// routers within some milliseconds, so in calm nobody asks.
	patience = 150 * time.Millisecond
	// knowledgeTimeout bounds one question to another router.
	knowledgeTimeout = time.Second
	// reportInterval is the least time between two reports of what this router
	// has at the upstreams. A prompt is read in some 50 to 300 ms; with older
	// reports routers send to an engine that the others have just filled.
	reportInterval = 50 * time.Millisecond
	// refreshInterval is when a report is repeated that has not changed, well
	// within the time for which it counts.
	refreshInterval = 500 * time.Millisecond
)

// mesh connects the state of a router with those of the others. It answers a
// store that serves some routers and refuses others, or that tells nothing for
// a while: what one router knows, all know soon.
type mesh struct {
	state *State
	peers *peer.Peers
	homes *home.Homes
	log   *slog.Logger

	mu sync.Mutex
	// asking is set while a question to another router is under way.
	asking bool
	told   time.Time
	last   []byte
}

func newMesh(state *State, options peer.Options) *mesh {
	m := &mesh{state: state, peers: peer.New(options), log: options.Logger}
	m.homes = &home.Homes{Self: options.Self, Send: m.peers.Send, Pool: state.Pool, Log: options.Logger}
	state.homes = m.homes
	m.peers.Handle(knowledgeMethod, m.answer)
	m.peers.OnBatch(m.hear)
	m.peers.OnChange(m.changed)
	return m
}

// question is what a router holds that asks for what is newer.
type question struct {
	Configuration uint64 `json:"configuration-version"`
	Upstreams     uint64 `json:"upstream-revision"`
}

// answerBody carries a schema.Knowledge.
type answerBody struct {
	Knowledge []byte `json:"knowledge"`
}

// announcement returns how new this router's knowledge is.
func (m *mesh) announcement() *schema.Announcement {
	return &schema.Announcement{
		ConfigurationVersion: uint64(m.state.Table().Version()), UpstreamRevision: uint64(m.state.Revision()),
	}
}

// announce tells all routers how new this router's knowledge is.
func (m *mesh) announce() {
	batch := &schema.Batch{Announcement: m.announcement()}
	for _, router := range m.peers.Routers() {
		m.peers.Send(router, batch)
	}
}

// changed takes note of a connection that came or went.
func (m *mesh) changed(c peer.Change) {
	m.log.Info("router connection changed", "other", c.Router, "address", c.Address, "incarnation", c.Incarnation, "connected", c.Connected)
	m.homes.SetRouters(m.peers.Routers())
	m.state.setGrouped(m.homes.Decide())
	if !c.Connected {
		m.homes.Lost(c.Router)
		return
	}
	m.peers.Send(c.Router, &schema.Batch{Announcement: m.announcement()})
	m.mu.Lock()
	m.last = nil // the next report goes to all
	m.mu.Unlock()
}

// hear takes a batch of another router.
func (m *mesh) hear(from fleet.RouterID, batch *schema.Batch) {
	m.homes.Hear(from, batch)
	if batch.GetAnnouncement() != nil && m.lacks(batch.GetAnnouncement()) {
		time.AfterFunc(patience, func() { m.ask(from, batch.GetAnnouncement()) })
	}
	if m.homes.Decide() {
		return // a report from before the fleet was large
	}
	for _, work := range batch.GetLoads() {
		m.state.observe(from, work)
	}
}

// lacks reports whether another router knows something newer.
func (m *mesh) lacks(a *schema.Announcement) bool {
	return a.GetConfigurationVersion() > uint64(m.state.Table().Version()) ||
		a.GetUpstreamRevision() > uint64(m.state.Settled())
}

// ask asks another router for what is newer there, unless it came meanwhile.
func (m *mesh) ask(from fleet.RouterID, a *schema.Announcement) {
	m.mu.Lock()
	if m.asking || !m.lacks(a) {
		m.mu.Unlock()
		return
	}
	m.asking = true
	m.mu.Unlock()
	err := m.fetch(from)
	m.mu.Lock()
	m.asking = false
	m.mu.Unlock()
	m.log.Info("asked another router", "other", from, "error", err,
		"configuration", m.state.Table().Version(), "upstream-revision", m.state.Revision())
}

func (m *mesh) fetch(from fleet.RouterID) error {
	ctx, cancel := context.WithTimeout(context.Background(), knowledgeTimeout)
	defer cancel()
	own := m.announcement()
	var body answerBody
	q := question{Configuration: own.GetConfigurationVersion(), Upstreams: uint64(m.state.Settled())}
	if err := m.peers.Call(ctx, from, knowledgeMethod, q, &body); err != nil {
		return err
	}
	var knowledge schema.Knowledge
	if err := proto.Unmarshal(body.Knowledge, &knowledge); err != nil {
		return eris.Wrap(err, "decoding another router's knowledge")
	}
	m.state.learn(&knowledge, "router "+string(from))
	return nil
}

// answer tells another router what is newer here.
func (m *mesh) answer(_ context.Context, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decoding a question")
	}
	data, err := proto.Marshal(m.state.knowledge(q))
	if err != nil {
		return nil, eris.Wrap(err, "encoding knowledge")
	}
	return answerBody{Knowledge: data}, nil
}

// Run reports what this router has at the upstreams until ctx ends, unless homes
// decide: then nobody needs reports.
func (m *mesh) Run(ctx context.Context) error {
	pause := time.NewTimer(reportInterval)
	defer pause.Stop()
	for {
		select {
		case now := <-pause.C:
			if !m.homes.Decide() {
				m.report(now, m.peers.Routers())
			}
			pause.Reset(reportInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// report sends a report when it differs from the last one, or that is old.
func (m *mesh) report(now time.Time, routers []fleet.RouterID) {
	batch := &schema.Batch{Loads: m.state.work(now)}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		m.log.Error("report could not be encoded", "error", err)
		return
	}
	m.mu.Lock()
	same := string(data) == string(m.last) && now.Sub(m.told) < refreshInterval
	if !same {
		m.last = data
		m.told = now
	}
	m.mu.Unlock()
	if same || len(data) == 0 {
		return
	}
	for _, router := range routers {
		m.peers.Send(router, batch)
	}
}
