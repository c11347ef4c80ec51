package promptcache_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/promptcache"
)

// model is a ledger that computes everything anew from the running requests and a list of the
// parts that were read.
type model struct {
	capacity int
	runs     map[int]*modelRun
	// known are all parts, those without users in the order of their last use.
	known []promptcache.Prefix
	read  map[uint64]bool
}

type modelRun struct {
	prefixes      []promptcache.Prefix
	input, output int
}

func (r *modelRun) uses(part promptcache.Prefix) bool { return slices.Contains(r.prefixes, part) }

func (m *model) isUsed(part promptcache.Prefix) bool {
	for _, r := range m.runs {
		if r.uses(part) {
			return true
		}
	}
	return false
}

// size returns the length of a part: the last digit of its hash.
func size(part promptcache.Prefix) int { return int(part.Hash % 10) }

// held returns what running requests hold.
func (m *model) held() int {
	sum := 0
	for _, part := range m.known {
		if m.isUsed(part) {
			sum += size(part)
		}
	}
	for _, r := range m.runs {
		sum += r.output + r.input - r.prefixes[len(r.prefixes)-1].Tokens
	}
	return sum
}

func (m *model) begin(id int, r *modelRun) {
	m.end(id, false)
	m.runs[id] = r
	for _, part := range r.prefixes {
		if !slices.Contains(m.known, part) {
			m.known = append(m.known, part)
		}
	}
	m.evict()
}

func (m *model) markRead(id int) {
	if r := m.runs[id]; r != nil {
		for _, part := range r.prefixes {
			m.read[part.Hash] = true
		}
	}
}

func (m *model) end(id int, whole bool) {
	r := m.runs[id]
	if r == nil {
		return
	}
	if whole {
		m.markRead(id)
	}
	delete(m.runs, id)
	for _, part := range slices.Backward(r.prefixes) {
		if m.isUsed(part) {
			continue
		}
		m.known = slices.DeleteFunc(m.known, func(p promptcache.Prefix) bool { return p == part })
		if m.read[part.Hash] {
			m.known = append(m.known, part)
		}
	}
	m.evict()
}

func (m *model) evict() {
	for m.capacity > 0 {
		free := m.capacity - m.held()
		oldest := -1
		for i, part := range slices.Backward(m.known) {
			if !m.isUsed(part) {
				free -= size(part)
				oldest = i
			}
		}
		if free >= 0 || oldest < 0 {
			return
		}
		delete(m.read, m.known[oldest].Hash)
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

// drawPrompt draws a prompt of up to three parts. Prompts are often alike at the beginning.
func drawPrompt(t *rapid.T) *modelRun {
	r := &modelRun{output: rapid.IntRange(0, 9).Draw(t, "output")}
	for _, digit := range rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3).Draw(t, "parts") {
		part := promptcache.Prefix{Hash: digit, Tokens: int(digit)}
		if n := len(r.prefixes); n > 0 {
			part = promptcache.Prefix{Hash: 10*r.prefixes[n-1].Hash + digit, Tokens: r.prefixes[n-1].Tokens + int(digit)}
		}
		r.prefixes = append(r.prefixes, part)
		r.input = part.Tokens + rapid.IntRange(0, 2).Draw(t, "rest")
	}
	return r
}

// Guards against sums that drift apart from the parts and requests that they stand for, and
// against parts that are evicted while in use, in the wrong order, or not at all.
func TestLedgerEqualsItsModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		l := &promptcache.Ledger[int]{}
		m := &model{runs: make(map[int]*modelRun), read: make(map[uint64]bool)}
		id := func() int { return rapid.IntRange(1, 6).Draw(t, "request") }
		t.Repeat(map[string]func(*rapid.T){
			"set capacity": func(t *rapid.T) {
				m.capacity = rapid.IntRange(0, 60).Draw(t, "capacity")
				l.SetCapacity(m.capacity)
				m.evict()
			},
			"begin": func(t *rapid.T) {
				i, r := id(), drawPrompt(t)
				m.begin(i, r)
				l.Begin(start, i, r.prefixes, r.input, r.output)
			},
			"read": func(*rapid.T) { i := id(); m.markRead(i); l.Read(start, i) },
			"end": func(t *rapid.T) {
				i, whole := id(), rapid.Bool().Draw(t, "whole")
				m.end(i, whole)
				l.End(start, i, whole)
			},
			"": func(t *rapid.T) {
				r := drawPrompt(t)
				require.Equal(t, m.length(r.prefixes, func(promptcache.Prefix) bool { return true }), l.Cached(start, r.prefixes))
				require.Equal(t, m.length(r.prefixes, func(p promptcache.Prefix) bool { return m.read[p.Hash] }), l.Kept(start, r.prefixes))
				added := r.input - m.length(r.prefixes, m.isUsed) + r.output
				fits := m.capacity == 0 || len(m.runs) == 0 || m.held()+added <= m.capacity
				require.Equal(t, fits, l.Fits(start, r.prefixes, r.input, r.output))
			},
		})
	})
}
