// Package route holds the configuration of request routing: the service and
// timeout of each path, which requests may be retried, and the account of each key.
//
// A Table is immutable. A router replaces the whole table when a newer version
// arrives, so that no request sees parts of two versions.
package route

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// Kind determines whether and how the requests of a route may be retried.
type Kind string

const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by a series of events.
	Streaming Kind = "streaming"
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service fleet.ServiceID
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route configures the requests whose path has a prefix at one host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout bounds the time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// LatencyTarget is the target time to the answer, or to its first event.
	LatencyTarget time.Duration
	// MaxPause is the longest acceptable pause between two events.
	MaxPause time.Duration
	// MaxAttempts bounds the number of upstreams that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another upstream after the last event.
	Resumable bool
	// PromptCaching is set if requests list the parts of their prompt. They are faster at
	// upstreams that have these parts cached.
	PromptCaching bool
	// Regions are those in which requests may be served.
	Regions Regions
}

// Regions lists regions; empty means all.
type Regions []fleet.RegionID

// Contains reports whether a region is among them.
func (r Regions) Contains(region fleet.RegionID) bool {
	return len(r) == 0 || slices.Contains(r, region)
}

// Idempotent reports whether a second run of a request does no harm.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// ServiceOf returns the service that gets a request. It depends only on the
// request's id, so that every router and every attempt chooses the same one.
func (r *Route) ServiceOf(id fleet.RequestID) fleet.ServiceID {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return ""
}

// Service is the configuration of one service.
type Service struct {
	ID fleet.ServiceID
	// MaxConnections bounds the connections of all routers together to one upstream.
	MaxConnections int
	// Slots is how many requests a model engine runs at once; zero for other services.
	Slots int
	// CacheTokens is the cache size of a model engine, in tokens; zero for other services.
	CacheTokens int
	// TokenBytes is the size of a token in a model engine's cache, and LinkMbps the speed, in
	// megabits per second, at which it copies from the cache of another; zero if unknown.
	TokenBytes int
	LinkMbps   float64
	// ColdDuration is how long an upstream is cold after its start, and ColdRate the number
	// of requests per second that it tolerates then; zero means any number.
	ColdDuration time.Duration
	ColdRate     float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account with its keys.
type Account struct {
	ID   fleet.AccountID
	Keys []string
	// Regions are those in which the account's requests may be served.
	Regions Regions
}

// Configuration is the content of a Table.
type Configuration struct {
	Version fleet.Version
	// Revision is that at which the store wrote the configuration; zero if unknown.
	Revision registry.Revision
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// IsNewerThan reports whether a configuration replaces another one: it has a later version, or the store was restored from a copy
// and the operator wrote the version again.
func (c *Configuration) IsNewerThan(other *Configuration) bool {
	if c.Version != other.Version {
		return c.Version > other.Version
	}
	return c.Revision.Era() > other.Revision.Era()
}

// HasContentOf reports whether two configurations differ at most in their versions and revisions.
func (c *Configuration) HasContentOf(other *Configuration) bool {
	a, b := *c, *other
	a.Version, a.Revision = b.Version, b.Revision
	return reflect.DeepEqual(a, b)
}

// Table indexes one Configuration for lookups. The nil Table is empty.
type Table struct {
	version     fleet.Version
	limits      Limits
	routes      map[string]map[string]*Route // by host and prefix
	services    map[fleet.ServiceID]*Service
	targets     map[fleet.ServiceID]time.Duration // see FirstEventTarget
	accounts    map[string]fleet.AccountID        // by key
	regions     map[fleet.AccountID]Regions       // of accounts that are bound to some
	requiresKey bool
}

// NewTable returns the Table of a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		version:     c.Version,
		limits:      c.Limits,
		routes:      make(map[string]map[string]*Route),
		services:    make(map[fleet.ServiceID]*Service, len(c.Services)),
		targets:     make(map[fleet.ServiceID]time.Duration),
		accounts:    make(map[string]fleet.AccountID),
		regions:     make(map[fleet.AccountID]Regions),
		requiresKey: len(c.Accounts) > 0,
	}
	for i := range c.Routes {
		t.add(&c.Routes[i])
	}
	for i := range c.Services {
		t.services[c.Services[i].ID] = &c.Services[i]
	}
	for _, account := range c.Accounts {
		for _, key := range account.Keys {
			t.accounts[key] = account.ID
		}
		if len(account.Regions) > 0 {
			t.regions[account.ID] = account.Regions
		}
	}
	return t
}

func (t *Table) add(r *Route) {
	host := strings.ToLower(r.Host)
	if t.routes[host] == nil {
		t.routes[host] = make(map[string]*Route)
	}
	t.routes[host][r.Prefix] = r
	if r.Kind != Streaming {
		return
	}
	for _, share := range r.Shares {
		lowest, ok := t.targets[share.Service]
		if !ok || r.LatencyTarget < lowest {
			t.targets[share.Service] = r.LatencyTarget
		}
	}
}

// Version returns the version of the configuration, zero if there is none.
func (t *Table) Version() fleet.Version {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns the limits of the configuration, zero if there is none.
func (t *Table) Limits() Limits {
	if t == nil {
		return Limits{}
	}
	return t.limits
}

// Find returns the route of a host with the longest prefix of path. The path is
// matched as sent, without decoding escapes.
func (t *Table) Find(host, path string) (*Route, bool) {
	if t == nil {
		return nil, false
	}
	host, _, _ = strings.Cut(host, ":")
	routes := t.routes[strings.ToLower(host)]
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r, ok := routes[path[:end]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Service returns the configuration of a service.
func (t *Table) Service(id fleet.ServiceID) (*Service, bool) {
	if t == nil {
		return nil, false
	}
	s, ok := t.services[id]
	return s, ok
}

// FirstEventTarget returns the lowest target time to the first event among the
// streaming routes of a service; zero if it has none. All requests for a model engine
// wait in one queue, so the strictest route determines the length of the queue.
func (t *Table) FirstEventTarget(id fleet.ServiceID) time.Duration {
	if t == nil {
		return 0
	}
	return t.targets[id]
}

// RequiresKey reports whether requests need a key, which is so if there is any account.
func (t *Table) RequiresKey() bool { return t != nil && t.requiresKey }

// AccountOf returns the account that holds a key.
func (t *Table) AccountOf(key string) (fleet.AccountID, bool) {
	if t == nil {
		return "", false
	}
	id, ok := t.accounts[key]
	return id, ok
}

// RegionsOf returns the regions in which an account's requests may be served.
func (t *Table) RegionsOf(id fleet.AccountID) Regions {
	if t == nil {
		return nil
	}
	return t.regions[id]
}
