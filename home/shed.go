package home

import (
	"math"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/recovery"
	"nutmeglock.example/nutmeglock/schema"
)

// shedSendDelay is how long refused tokens are collected before they are sent to the
// homes. Each report costs one message per home, and the delay does no harm, since service
// is compared over some seconds.
const shedSendDelay = 200 * time.Millisecond

// shedKey identifies the account and service of refused requests.
type shedKey struct {
	service fleet.ServiceID
	account fleet.AccountID
}

// AddShed records that this router refused a request because it is overloaded.
//
// Homes otherwise know only of requests that ask for turns. An account whose router
// refuses most of its requests would seem to have no unmet demand, and other accounts would
// get several times its service.
func (c *Coordinator) AddShed(service fleet.ServiceID, account fleet.AccountID, tokens float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingShed == nil {
		c.pendingShed = make(map[shedKey]float64)
	}
	if len(c.pendingShed) == 0 {
		time.AfterFunc(shedSendDelay, func() { c.Guard.Run(recovery.Home, c.sendShed) })
	}
	c.pendingShed[shedKey{service, account}] += tokens
}

// sendShed reports the refused tokens to the homes of all groups. An account's requests
// are spread evenly over the groups, so each group's home is sent an equal part.
func (c *Coordinator) sendShed() {
	c.mu.Lock()
	shed := c.pendingShed
	c.pendingShed = nil
	c.mu.Unlock()
	batches := make(map[fleet.RouterID]*schema.Batch)
	for key, tokens := range shed {
		c.splitShed(batches, key, tokens)
	}
	for home, batch := range batches {
		if home == c.Self {
			c.recordShed(batch)
			continue
		}
		c.Send(home, batch)
	}
}

// splitShed adds an account's refused tokens to the batches of the homes, or to this
// router's own pool if homes don't grant the turns.
func (c *Coordinator) splitShed(batches map[fleet.RouterID]*schema.Batch, key shedKey, tokens float64) {
	pool := c.Pool(key.service)
	if pool == nil {
		return // the service was removed in the meantime
	}
	groups := pool.GroupCount()
	if groups == 0 || !c.IsActive() {
		pool.RecordShed(time.Now(), key.account, tokens)
		return
	}
	work := &schema.ShedWork{Service: string(key.service), Account: string(key.account), Tokens: uint32(math.Ceil(tokens / float64(groups)))}
	for number := range groups {
		home := c.homeOf(group{key.service, number})
		if batches[home] == nil {
			batches[home] = &schema.Batch{}
		}
		batches[home].ShedWork = append(batches[home].ShedWork, work)
	}
}

// recordShed records the refused tokens of a batch in the pools.
func (c *Coordinator) recordShed(batch *schema.Batch) {
	for _, work := range batch.GetShedWork() {
		if pool := c.Pool(fleet.ServiceID(work.GetService())); pool != nil {
			pool.RecordShed(time.Now(), fleet.AccountID(work.GetAccount()), float64(work.GetTokens()))
		}
	}
}
