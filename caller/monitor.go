package caller

import (
	"log/slog"
	"sync"
	"time"

	"nutmeglock.example/nutmeglock/budget"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
)

// maxEvictionKinds bounds the log lines about evictions a second.
const maxEvictionKinds = 16

// Monitor is a Pool with metrics and a log of what was evicted. Call SetUp before it is used.
type Monitor struct {
	Pool
	metrics *metric.Set
	log     *slog.Logger

	mu sync.Mutex
	// evicted has the evictions that weren't logged yet.
	evicted map[evictionKind]evictionSum
}

// evictionKind are the evictions that share a log line.
type evictionKind struct {
	resource budget.Resource
	stage    budget.Stage
	account  fleet.AccountID
}

type evictionSum struct {
	count int
	bytes int64
}

// SetUp sets the limits, of which zero means the default of a Pool, and where evictions are reported.
func (m *Monitor) SetUp(bytes int64, connections int, metrics *metric.Set, log *slog.Logger) {
	m.Bytes, m.MaxConnections = bytes, connections
	m.metrics, m.log = metrics, log
	m.evicted = make(map[evictionKind]evictionSum)
	m.OnEvict = m.countEviction
}

func (m *Monitor) countEviction(account fleet.AccountID, e budget.Eviction) {
	m.metrics.Evictions.WithLabelValues(string(e.Resource), e.Stage.String()).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	kind := evictionKind{e.Resource, e.Stage, account}
	if _, known := m.evicted[kind]; !known && len(m.evicted) >= maxEvictionKinds {
		kind.account = ""
	}
	sum := m.evicted[kind]
	sum.count++
	sum.bytes += e.Bytes
	m.evicted[kind] = sum
}

// Check evicts connections that have timed out, and reports what has happened since the last call. Call it about once a
// second.
func (m *Monitor) Check(now time.Time, timeouts budget.Timeouts) {
	m.Expire(now, timeouts)
	usage := m.Usage()
	m.metrics.CallerBytes.Set(float64(usage.Bytes))
	for _, stage := range budget.Stages() {
		m.metrics.CallerConnections.WithLabelValues(stage.String()).Set(float64(usage.Connections[stage]))
	}
	m.mu.Lock()
	evicted := m.evicted
	m.evicted = make(map[evictionKind]evictionSum)
	m.mu.Unlock()
	for kind, sum := range evicted {
		m.log.Warn("callers' connections evicted", "lack-of", kind.resource, "stage", kind.stage.String(), "account", kind.account,
			"count", sum.count, "bytes", sum.bytes, "held-bytes", usage.Bytes, "max-bytes", usage.MaxBytes,
			"largest-account", usage.Largest, "largest-bytes", usage.LargestBytes)
	}
}
