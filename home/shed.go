package home

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

// shedDelay is how long what is refused without an ask is gathered before it is told.
// Service is compared over some seconds, and each telling is a message to each home.
const shedDelay = 200 * time.Millisecond

// shedKey is whose requests were refused.
type shedKey struct {
	service fleet.ServiceID
	account fleet.AccountID
}

// Shed takes note of a request that this router refused since it has too much to do.
//
// Homes hear only of requests that ask for turns. An account whose router refuses most
// of what it asks for would look served, and others would be given several times as much.
func (h *Homes) Shed(service fleet.ServiceID, account fleet.AccountID, tokens float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shed == nil {
		h.shed = make(map[shedKey]float64)
	}
	if len(h.shed) == 0 {
		time.AfterFunc(shedDelay, func() { h.Guard.Run(recovery.Home, h.tellShed) })
	}
	h.shed[shedKey{service, account}] += tokens
}

// tellShed tells the homes of all groups what was refused. Requests of an account go to
// all groups alike, so each home is told an even part.
func (h *Homes) tellShed() {
	h.mu.Lock()
	shed := h.shed
	h.shed = nil
	h.mu.Unlock()
	batches := make(map[fleet.RouterID]*schema.Batch)
	for key, tokens := range shed {
		h.divideShed(batches, key, tokens)
	}
	for home, batch := range batches {
		if home == h.Self {
			h.hearShed(batch)
			continue
		}
		h.Send(home, batch)
	}
}

func (h *Homes) divideShed(batches map[fleet.RouterID]*schema.Batch, key shedKey, tokens float64) {
	pool := h.Pool(key.service)
	if pool == nil {
		return // the service was removed meanwhile
	}
	groups := pool.Groups()
	if groups == 0 || !h.Decide() {
		pool.Shed(time.Now(), key.account, tokens)
		return
	}
	work := &schema.ShedWork{Service: string(key.service), Account: string(key.account), Tokens: uint32(math.Ceil(tokens / float64(groups)))}
	for number := range groups {
		home := h.home(group{key.service, number})
		if batches[home] == nil {
			batches[home] = &schema.Batch{}
		}
		batches[home].ShedWork = append(batches[home].ShedWork, work)
	}
}

// hearShed takes what another router refused.
func (h *Homes) hearShed(batch *schema.Batch) {
	for _, work := range batch.GetShedWork() {
		if pool := h.Pool(fleet.ServiceID(work.GetService())); pool != nil {
			pool.Shed(time.Now(), fleet.AccountID(work.GetAccount()), float64(work.GetTokens()))
		}
	}
}
