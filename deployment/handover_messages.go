package deployment

import (
	"context"
	"net"
	"time"

	"nutmeglock.example/nutmeglock/caller"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/handover"
	"nutmeglock.example/nutmeglock/handover/relay"
	"nutmeglock.example/nutmeglock/schema"
)

// receive handles the messages of another router about handing over.
func (h *handovers) receive(from fleet.RouterID, batch *schema.Batch) {
	if h == nil {
		return
	}
	if query := batch.GetHandoverQuery(); query != nil {
		h.answer(from, query)
	}
	if offer := batch.GetHandoverOffer(); offer != nil {
		h.record(from, offer)
	}
}

// answer answers a router's query. Without a listener, this router can only hand over.
func (h *handovers) answer(from fleet.RouterID, query *schema.HandoverQuery) {
	if h.address == "" {
		return
	}
	h.mu.Lock()
	offer, isNew := h.offers.Ask(time.Now(), from)
	h.mu.Unlock()
	if !isNew {
		return
	}
	message := &schema.HandoverOffer{Requests: uint32(offer.Requests)}
	if !query.GetKnown() {
		message.Address, message.Token = h.address, h.token[:]
	}
	h.options.send(from, &schema.Batch{HandoverOffer: message})
}

// record records another router's offer.
func (h *handovers) record(from fleet.RouterID, message *schema.HandoverOffer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.nearby[from] {
		return
	}
	if message.GetAddress() != "" {
		helper := handover.Helper{Router: from, Address: message.GetAddress()}
		copy(helper.Token[:], message.GetToken())
		h.helpers.Add(helper)
	}
	h.helpers.Record(time.Now(), handover.Offer{Router: from, Requests: int(message.GetRequests())})
}

// Admit returns the verdict on a relay of another router.
func (h *handovers) Admit(p relay.Preamble) relay.Verdict {
	switch {
	case !h.token.Equal(p.Token):
		h.options.log.Debug("relay rejected", "other", p.Router, "verdict", relay.WrongToken)
		return relay.WrongToken
	case h.options.isStopping():
		return relay.Stopping
	case !h.acquire():
		return relay.Full
	}
	h.options.metrics.AcceptedHandovers.Inc()
	return relay.Accepted
}

// HandleMalformed logs a connection that isn't a relay's.
func (h *handovers) HandleMalformed(remote net.Addr, err error) {
	h.options.log.Debug("relay rejected", "remote", remote.String(), "error", err)
}

// setUpHandovers sets up handing over, if the router has an address for relays.
func (r *Router) setUpHandovers() error {
	if r.options.HandoverAddress == "" {
		return nil
	}
	m := r.mesh
	h, err := newHandovers(handoverOptions{
		self: r.options.Self, dataCenter: r.options.DataCenter, send: m.peers.Send,
		isActive:    func() bool { return m.coordinator.IsActive() && !m.link.IsOverloaded() },
		isExhausted: m.shedder.IsExhausted,
		isBusy:      func() bool { return m.shedder.IsShedding() || m.isOverloaded() || !r.state.Ready() },
		isStopping:  r.stopping.Load,
		maxRelays:   r.options.MaxConnections / relayShare,
		metrics:     r.metrics, log: r.options.Log, requestLog: r.handler.RoutineLog,
	})
	if err != nil {
		return err
	}
	m.handovers = h
	r.handler.Handover = h
	r.handler.HasCapacity = func(now time.Time, account fleet.AccountID) bool {
		if !m.shedder.Admit(now, account) {
			return false
		}
		h.begun.Add(1)
		return true
	}
	r.actors = append(r.actors, actor{"handing over", h.Run})
	return nil
}

// listenForRelays accepts relays. A router that can't listen for them still hands over: that helps
// others less, but its callers don't depend on it.
func (r *Router) listenForRelays(ctx context.Context) {
	h := r.mesh.handovers
	if h == nil {
		return
	}
	listener, err := r.openListener(ctx, r.options.HandoverAddress, &r.callers.Pool, nil)
	if err != nil {
		r.options.Log.Warn("not listening for relays", "address", r.options.HandoverAddress, "error", err)
		return
	}
	h.address = r.options.HandoverAddress
	server := r.newServer(r.handler)
	server.ConnState = r.countConnection
	relays := &relay.Listener{Listener: listener, Admitter: h}
	r.actors = append(r.actors, actor{"relays", serve(server, &caller.Listener{Listener: relays, Pool: &r.callers.Pool})})
}
