// Package note checks, publishes and distributes release notes, and holds the
// fleet state that they result in: an immutable view that traffic reads.
package note

import (
	"crypto/sha256"
	"encoding/hex"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// View is the fleet state at one version, indexed for serving traffic. It is
// immutable.
type View struct {
	state             *schema.FleetState
	accounts          map[fleet.AccountID]*schema.Account
	accountsByKeyHash map[string]*schema.Account
	services          map[fleet.ServiceID]*schema.Service
	upstreams         map[fleet.ServiceID][]*schema.Upstream
	entriesByNumber   map[fleet.ShortID]any
}

// Source provides the current view.
type Source interface {
	// Current returns the current view, or nil before the first one.
	Current() *View
}

// NewView returns the view of a state. The state must not change afterwards.
func NewView(state *schema.FleetState) *View {
	v := &View{
		state:             state,
		accounts:          make(map[fleet.AccountID]*schema.Account, len(state.GetAccounts())),
		accountsByKeyHash: make(map[string]*schema.Account, len(state.GetAccounts())),
		services:          make(map[fleet.ServiceID]*schema.Service, len(state.GetServices())),
		upstreams:         make(map[fleet.ServiceID][]*schema.Upstream, len(state.GetServices())),
		entriesByNumber:   make(map[fleet.ShortID]any, len(state.GetAccounts())),
	}
	for _, a := range state.GetAccounts() {
		v.addAccount(a)
	}
	for _, s := range state.GetServices() {
		v.services[fleet.ServiceID(s.GetId())] = s
		v.entriesByNumber[fleet.ShortID(s.GetNumber())] = s
	}
	for _, u := range state.GetUpstreams() {
		service := fleet.ServiceID(u.GetService())
		v.upstreams[service] = append(v.upstreams[service], u)
		v.entriesByNumber[fleet.ShortID(u.GetNumber())] = u
	}
	return v
}

func (v *View) addAccount(a *schema.Account) {
	v.accounts[fleet.AccountID(a.GetId())] = a
	v.entriesByNumber[fleet.ShortID(a.GetNumber())] = a
	for _, hash := range a.GetKeySha256() {
		v.accountsByKeyHash[hash] = a
	}
}

// Version returns the version of the last release note in the view.
func (v *View) Version() fleet.Version { return fleet.Version(v.state.GetVersion()) }

// State returns the underlying state, which must not be modified.
func (v *View) State() *schema.FleetState { return v.state }

// HashKey returns the hash by which a release note lists an account's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountByKey returns the account with the given key, or nil.
func (v *View) AccountByKey(key string) *schema.Account { return v.accountsByKeyHash[HashKey(key)] }

// Account returns an account by its id, or nil.
func (v *View) Account(id fleet.AccountID) *schema.Account { return v.accounts[id] }

// Service returns a service by its id, or nil.
func (v *View) Service(id fleet.ServiceID) *schema.Service { return v.services[id] }

// Upstreams returns the upstreams of a service, including those that are
// leaving.
func (v *View) Upstreams(service fleet.ServiceID) []*schema.Upstream { return v.upstreams[service] }

// AccountByNumber returns an account by its number, or nil.
func (v *View) AccountByNumber(n fleet.ShortID) *schema.Account {
	a, _ := v.entriesByNumber[n].(*schema.Account)
	return a
}

// ServiceByNumber returns a service by its number, or nil.
func (v *View) ServiceByNumber(n fleet.ShortID) *schema.Service {
	s, _ := v.entriesByNumber[n].(*schema.Service)
	return s
}

// UpstreamByNumber returns an upstream by its number, or nil.
func (v *View) UpstreamByNumber(n fleet.ShortID) *schema.Upstream {
	u, _ := v.entriesByNumber[n].(*schema.Upstream)
	return u
}
