package home

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

// shedSendDelay is how long refused tokens are collected before they are sent to the
// homes. Service is compared over some seconds, so that a short delay does no harm, and
// each report costs one message per home.
const shedSendDelay = 200 * time.Millisecond

// shedKey identifies the account and service of refused requests.
type shedKey struct {
	service fleet.ServiceID
	account fleet.AccountID
}

// AddShed records that this router refused a request because it is overloaded.
//
// Homes otherwise know only of requests that ask for turns. An account whose router
// refuses most of its requests would seem to have all it wants, and other accounts would
// get several times its service.
func (h *Coordinator) AddShed(service fleet.ServiceID, account fleet.AccountID, tokens float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pendingShed == nil {
		h.pendingShed = make(map[shedKey]float64)
	}
	if len(h.pendingShed) == 0 {
		time.AfterFunc(shedSendDelay, func() { h.Guard.Run(recovery.Home, h.sendShed) })
	}
	h.pendingShed[shedKey{service, account}] += tokens
}

// sendShed reports the refused tokens to the homes of all groups. An account's requests
// are spread evenly over the groups, so each home is sent an equal part.
func (h *Coordinator) sendShed() {
	h.mu.Lock()
	shed := h.pendingShed
	h.pendingShed = nil
	h.mu.Unlock()
	batches := make(map[fleet.RouterID]*schema.Batch)
	for key, tokens := range shed {
		h.splitShed(batches, key, tokens)
	}
	for home, batch := range batches {
		if home == h.Self {
			h.recordShed(batch)
			continue
		}
		h.Send(home, batch)
	}
}

// splitShed adds an account's refused tokens to the batches of the homes, or to this
// router's own pool if homes don't grant the turns.
func (h *Coordinator) splitShed(batches map[fleet.RouterID]*schema.Batch, key shedKey, tokens float64) {
	pool := h.Pool(key.service)
	if pool == nil {
		return // the service was removed in the meantime
	}
	groups := pool.GroupCount()
	if groups == 0 || !h.IsActive() {
		pool.RecordShed(time.Now(), key.account, tokens)
		return
	}
	work := &schema.ShedWork{Service: string(key.service), Account: string(key.account), Tokens: uint32(math.Ceil(tokens / float64(groups)))}
	for number := range groups {
		home := h.homeOf(group{key.service, number})
		if batches[home] == nil {
			batches[home] = &schema.Batch{}
		}
		batches[home].ShedWork = append(batches[home].ShedWork, work)
	}
}

// recordShed adds the tokens that another router refused to the pools.
func (h *Coordinator) recordShed(batch *schema.Batch) {
	for _, work := range batch.GetShedWork() {
		if pool := h.Pool(fleet.ServiceID(work.GetService())); pool != nil {
			pool.RecordShed(time.Now(), fleet.AccountID(work.GetAccount()), float64(work.GetTokens()))
		}
	}
}
