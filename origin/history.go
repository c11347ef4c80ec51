package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// historyMemory is how long a version is remembered after its last upstream left. It is longer
// than any window that is asked for.
const historyMemory = 30 * time.Minute

// unknownOther stands for a version that upstreams had before this router started.
const unknownOther fleet.SoftwareVersion = "\x00before the start"

// History knows which software versions the upstreams of each service have and had. Its zero
// value knows nothing. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[fleet.ServiceID]*versions
	// since is when the first list was observed. restored is set once it is known which services
	// had several versions before that.
	since    time.Time
	restored bool
}

// versions are the software versions of one service.
type versions struct {
	// present holds the versions of the listed upstreams, and the earliest start of one, zero if it isn't known.
	present map[fleet.SoftwareVersion]registry.StartTime
	// lastSeen holds the versions that were present, and until when.
	lastSeen map[fleet.SoftwareVersion]time.Time
}

// Observe records the versions of all upstreams that are listed now, draining ones included, and the earliest start of an
// upstream of each.
func (h *History) Observe(now time.Time, listed map[fleet.ServiceID]map[fleet.SoftwareVersion]registry.StartTime) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = now
	}
	for service := range listed {
		h.service(service)
	}
	for service, v := range h.services {
		v.observe(now, listed[service])
	}
}

func (v *versions) observe(now time.Time, present map[fleet.SoftwareVersion]registry.StartTime) {
	for version := range v.present {
		v.lastSeen[version] = now
	}
	for version := range present {
		v.lastSeen[version] = now
	}
	v.present = present
	maps.DeleteFunc(v.lastSeen, func(version fleet.SoftwareVersion, at time.Time) bool {
		_, isPresent := present[version]
		return !isPresent && now.Sub(at) > historyMemory
	})
}

// Restore records which services had several versions shortly before this router started, as far as routers could record it.
func (h *History) Restore(now time.Time, mixed []fleet.ServiceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restored = true
	for _, service := range mixed {
		h.service(service).lastSeen[unknownOther] = now
	}
}

func (h *History) service(id fleet.ServiceID) *versions {
	v := h.services[id]
	if v == nil {
		v = &versions{lastSeen: make(map[fleet.SoftwareVersion]time.Time)}
		if h.services == nil {
			h.services = make(map[fleet.ServiceID]*versions)
		}
		h.services[id] = v
	}
	return v
}

// Services returns all services that ever had an upstream.
func (h *History) Services() []fleet.ServiceID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.services))
}

// View returns the versions that a service has now or had within the window that ends now.
func (h *History) View(now time.Time, service fleet.ServiceID, window time.Duration) View {
	h.mu.Lock()
	defer h.mu.Unlock()
	view := View{Complete: !h.since.IsZero() && now.Sub(h.since) >= window}
	v := h.services[service]
	if v == nil {
		return view
	}
	view.Complete = view.Complete || (h.restored && v.hasServedFor(now, window))
	for version, at := range v.lastSeen {
		if _, isPresent := v.present[version]; isPresent || now.Sub(at) < window {
			view.Versions = append(view.Versions, version)
		}
	}
	slices.Sort(view.Versions)
	return view
}

// hasServedFor reports whether an upstream of a listed version has run for the window. If none has, all of another version may
// have been replaced while no router could record that there were two.
func (v *versions) hasServedFor(now time.Time, window time.Duration) bool {
	for _, started := range v.present {
		if started > 0 && now.Sub(time.UnixMilli(int64(started))) >= window {
			return true
		}
	}
	return false
}
