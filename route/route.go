// Package route holds the configuration that callers' requests are handled by:
// which service a path belongs to, how long it may take, what may be repeated,
// and which account a key belongs to.
//
// A Table is immutable. A router swaps the whole table when a newer version
// arrives, so that one request never sees parts of two versions.
package route

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglock.example/nutmeglock/fleet"
)

// Kind says what may be repeated of the requests of a route.
type Kind string

const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by a series of events.
	Streaming Kind = "streaming"
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service fleet.ServiceID
	// Weight is relative to those of the route's other shares.
	Weight int
}

// Route is how the requests below one path of one host are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest time from the arrival of a request to the end of
	// its answer.
	Timeout time.Duration
	// Target is the time to the answer, or to its first event, within which a
	// caller is well served.
	Target time.Duration
	// MaxPause is the longest pause between two events that a caller accepts.
	MaxPause time.Duration
	// Attempts bounds the upstreams that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
	// Cached requests say which parts their prompt has, and are faster where
	// these parts are cached.
	Cached bool
}

// Idempotent reports whether a second run of a request does no harm.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// ServiceOf returns the service that a request goes to. It depends on the
// request's id only, so that each router and each attempt choose alike.
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

// Service is what the configuration says of one service.
type Service struct {
	ID fleet.ServiceID
	// MaxConnections bounds the connections that one upstream accepts from all
	// routers together.
	MaxConnections int
	// Slots is how many requests a model engine runs at once; zero for other services.
	Slots int
	// CacheTokens is the memory of a model engine, in tokens; zero for other services.
	CacheTokens int
}

// Limits bound what callers may send.
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
}

// Configuration is the content of a Table.
type Configuration struct {
	Version  fleet.Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table answers questions about one configuration. The nil Table knows nothing.
type Table struct {
	version  fleet.Version
	limits   Limits
	hosts    map[string]map[string]*Route
	services map[fleet.ServiceID]*Service
	targets  map[fleet.ServiceID]time.Duration
	accounts map[string]fleet.AccountID
	keyed    bool
}

// NewTable returns the Table of a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		version:  c.Version,
		limits:   c.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[fleet.ServiceID]*Service, len(c.Services)),
		targets:  make(map[fleet.ServiceID]time.Duration),
		accounts: make(map[string]fleet.AccountID),
		keyed:    len(c.Accounts) > 0,
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
	}
	return t
}

func (t *Table) add(r *Route) {
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	t.hosts[host][r.Prefix] = r
	if r.Kind != Streaming {
		return
	}
	for _, share := range r.Shares {
		least, known := t.targets[share.Service]
		if !known || r.Target < least {
			t.targets[share.Service] = r.Target
		}
	}
}

// Version returns the version of the configuration, zero when there is none.
func (t *Table) Version() fleet.Version {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns what callers may send.
func (t *Table) Limits() Limits {
	if t == nil {
		return Limits{}
	}
	return t.limits
}

// Find returns the route of a host with the longest prefix that begins path,
// which is as the caller spelled it.
func (t *Table) Find(host, path string) (*Route, bool) {
	if t == nil {
		return nil, false
	}
	host, _, _ = strings.Cut(host, ":")
	routes := t.hosts[strings.ToLower(host)]
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

// Service returns what the configuration says of a service.
func (t *Table) Service(id fleet.ServiceID) (*Service, bool) {
	if t == nil {
		return nil, false
	}
	s, ok := t.services[id]
	return s, ok
}

// FirstEventTarget returns the shortest time to the first event that a
// streaming route of a service aims at; zero when it has none. All requests of
// a model engine wait in one queue there, so the strictest route sets its length.
func (t *Table) FirstEventTarget(id fleet.ServiceID) time.Duration {
	if t == nil {
		return 0
	}
	return t.targets[id]
}

// Keyed reports whether requests need a key.
func (t *Table) Keyed() bool { return t != nil && t.keyed }

// AccountOf returns the account that holds a key.
func (t *Table) AccountOf(key string) (fleet.AccountID, bool) {
	if t == nil {
		return "", false
	}
	id, ok := t.accounts[key]
	return id, ok
}
