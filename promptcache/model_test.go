package promptcache_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/promptcache"
)

// model is a ledger that computes everything anew from the running requests and a list of parts.
type model struct {
	capacity int
	runs     map[int]modelRun
	// known are all parts, those without users in the order of their last use.
	known []promptcache.Prefix
	// read parts are kept, and lost ones were when the engine lost its memory.
	read, lost map[promptcache.Prefix]bool
}

// modelRun is a request with a prompt of some parts and a rest.
type modelRun struct {
	prefixes     []promptcache.Prefix
	rest, output int
	isRead       bool
}

func (m *model) isUsed(part promptcache.Prefix) bool {
	for _, r := range m.runs {
		if slices.Contains(r.prefixes, part) {
			return true
		}
	}
	return false
}

func isAny(promptcache.Prefix) bool { return true }

func (m *model) isCached(part promptcache.Prefix) bool { return !m.lost[part] }

func (m *model) isRead(part promptcache.Prefix) bool { return m.read[part] }

// memory returns how much of the memory is taken by running requests and accepted parts. The
// length of a part is the last digit of its hash.
func (m *model) memory(accepts func(part promptcache.Prefix) bool) int {
	sum := 0
	for _, part := range m.known {
		if accepts(part) {
			sum += int(part.Hash % 10)
		}
	}
	for _, r := range m.runs {
		sum += r.rest + r.output
	}
	return sum
}

func (m *model) begin(id int, r modelRun) {
	m.end(id, false)
	m.runs[id] = r
	for _, part := range r.prefixes {
		delete(m.lost, part)
		if !slices.Contains(m.known, part) {
			m.known = append(m.known, part)
		}
	}
	m.evict()
}

func (m *model) markRead(id int) {
	r, isRunning := m.runs[id]
	if !isRunning || r.isRead {
		return
	}
	for _, part := range r.prefixes {
		m.read[part] = true
		delete(m.lost, part)
	}
	r.isRead = true
	m.runs[id] = r
}

func (m *model) end(id int, whole bool) {
	if whole {
		m.markRead(id)
	}
	r := m.runs[id]
	delete(m.runs, id)
	for _, part := range slices.Backward(r.prefixes) {
		if m.isUsed(part) {
			continue
		}
		m.known = slices.DeleteFunc(m.known, func(p promptcache.Prefix) bool { return p == part })
		if m.read[part] {
			m.known = append(m.known, part)
		}
	}
	m.evict()
}

func (m *model) reset() {
	m.known = slices.DeleteFunc(m.known, func(part promptcache.Prefix) bool { return !m.isUsed(part) })
	for _, part := range m.known {
		m.lost[part] = m.lost[part] || m.read[part]
	}
	clear(m.read)
}

func (m *model) evict() {
	for m.capacity > 0 && m.memory(isAny) > m.capacity {
		oldest := slices.IndexFunc(m.known, func(part promptcache.Prefix) bool { return !m.isUsed(part) })
		if oldest < 0 {
			return
		}
		delete(m.read, m.known[oldest])
		m.known = slices.Delete(m.known, oldest, oldest+1)
	}
}

func (m *model) length(prefixes []promptcache.Prefix, accepts func(part promptcache.Prefix) bool) int {
	length := 0
	for _, part := range prefixes {
		if !slices.Contains(m.known, part) || !accepts(part) {
			break
		}
		length = part.Tokens
	}
	return length
}

// drawRun draws a request. Prompts are often alike at the beginning.
func drawRun(t *rapid.T) (r modelRun, input int) {
	hash := uint64(0)
	for _, digit := range rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3).Draw(t, "parts") {
		hash, input = 10*hash+digit, input+int(digit)
		r.prefixes = append(r.prefixes, promptcache.Prefix{Hash: hash, Tokens: input})
	}
	r.rest, r.output = rapid.IntRange(0, 2).Draw(t, "rest"), rapid.IntRange(0, 9).Draw(t, "output")
	return r, input + r.rest
}

// Guards against sums that drift apart from the parts and requests that they stand for, and
// against parts that are evicted while in use or in the wrong order, that count as kept before
// they were read, or that stay although their request failed.
func TestLedgerEqualsItsModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		l := &promptcache.Ledger[int]{}
		m := &model{runs: make(map[int]modelRun), read: make(map[promptcache.Prefix]bool), lost: make(map[promptcache.Prefix]bool)}
		id := rapid.IntRange(1, 6)
		t.Repeat(map[string]func(*rapid.T){
			"set capacity": func(t *rapid.T) {
				m.capacity = rapid.IntRange(0, 60).Draw(t, "capacity")
				l.SetCapacity(m.capacity)
				m.evict()
			},
			"begin": func(t *rapid.T) {
				i := id.Draw(t, "request")
				r, input := drawRun(t)
				m.begin(i, r)
				l.Begin(start, i, r.prefixes, input, r.output)
			},
			"reset": func(*rapid.T) { m.reset(); l.Reset(start) },
			"read": func(t *rapid.T) {
				i := id.Draw(t, "request")
				m.markRead(i)
				l.Read(start, i)
			},
			"end": func(t *rapid.T) {
				i, whole := id.Draw(t, "request"), rapid.Bool().Draw(t, "whole")
				m.end(i, whole)
				l.End(start, i, whole)
			},
			"": func(t *rapid.T) {
				r, input := drawRun(t)
				require.Equal(t, m.length(r.prefixes, m.isCached), l.Cached(start, r.prefixes))
				require.Equal(t, m.length(r.prefixes, m.isRead), l.Kept(start, r.prefixes))
				added := input - m.length(r.prefixes, m.isUsed) + r.output
				fits := m.capacity == 0 || len(m.runs) == 0 || m.memory(m.isUsed)+added <= m.capacity
				require.Equal(t, fits, l.Fits(start, r.prefixes, input, r.output))
			},
		})
	})
}
