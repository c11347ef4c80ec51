package promptcache

import "time"

const (
	// MaxParts bounds the parts that a ledger knows; at about 120 bytes each they take 500 KB.
	// Parts beyond it count as a request's own, so that their memory is still accounted for.
	MaxParts = 4096
	// StaleAfter is how long a ledger without requests stays valid. Another router may have
	// scheduled the engine's requests in the meantime, and then they have evicted parts.
	StaleAfter = time.Minute
	// outputRefresh is how often the expected outputs of running requests are computed anew. In
	// that time a request generates a token or two.
	outputRefresh = 20 * time.Millisecond
)

// Ledger is the expected content of one engine's memory. Requests are identified by an R. Its
// zero value is empty and has unlimited capacity.
//
// Running requests hold their prompts and expected outputs. Parts of prompts stay after their
// requests have ended, and are evicted least recently used first when memory is needed. Parts
// of running requests aren't evicted.
type Ledger[R comparable] struct {
	capacity int
	parts    map[uint64]*part
	runs     map[R]*run
	idle     idleParts
	// partTokens sums over parts, privateTokens and outputTokens over runs.
	partTokens, privateTokens, outputTokens int
	// outputsAt is when outputTokens was last computed, and usedAt when a request last began,
	// was read or ended.
	outputsAt, usedAt time.Time
	pace              pace
}

// run is a running request.
type run struct {
	// parts are those of its prompt, from the beginning.
	parts []*part
	// private is the length of the rest of the prompt.
	private int
	// output is the expected output, and held the tokens that count for it now.
	output, held int
	readAt       time.Time
}

func (r *run) isRead() bool { return !r.readAt.IsZero() }

// SetCapacity sets how many tokens running requests and kept parts may take; zero means any
// number.
func (l *Ledger[R]) SetCapacity(tokens int) {
	l.capacity = max(tokens, 0)
	l.evict(0)
}

// Begin records that the engine is sent a request with a prompt of input tokens and the given
// prefixes. Output is the expected number of tokens of the answer.
func (l *Ledger[R]) Begin(now time.Time, id R, prefixes []Prefix, input, output int) {
	l.End(now, id, false) // in case that it was begun before
	if l.isStale(now) {
		l.dropIdle()
	}
	if l.parts == nil {
		l.parts, l.runs = make(map[uint64]*part), make(map[R]*run)
	}
	l.usedAt = now
	r := &run{output: max(output, 0)}
	r.held = r.output
	l.runs[id] = r
	l.outputTokens += r.held
	length := l.use(r, prefixes)
	r.private = max(input-length, 0)
	l.privateTokens += r.private
	l.evict(0)
}

// use records that a request uses the parts of its prompt, and returns their length.
func (l *Ledger[R]) use(r *run, prefixes []Prefix) int {
	length := 0
	for _, prefix := range prefixes {
		p := l.parts[prefix.Hash]
		if p == nil {
			l.evict(1)
			if len(l.parts) >= MaxParts {
				break
			}
			p = &part{hash: prefix.Hash, tokens: max(prefix.Tokens-length, 0)}
			l.parts[p.hash] = p
			l.partTokens += p.tokens
		} else if p.users == 0 {
			l.idle.remove(p)
		}
		if p.state == lost {
			p.state = reading
		}
		p.users++
		r.parts = append(r.parts, p)
		length = max(length, prefix.Tokens)
	}
	return length
}

// Read records that the first event of a request has arrived: its prompt has been read.
func (l *Ledger[R]) Read(now time.Time, id R) {
	r := l.runs[id]
	if r == nil || r.isRead() {
		return
	}
	l.usedAt = now
	r.readAt = now
	for _, p := range r.parts {
		p.state = kept
	}
}

// End records that a request has ended. Whole is true if its answer was complete, which shows
// that its prompt was read. It does nothing if the request is unknown.
func (l *Ledger[R]) End(now time.Time, id R, whole bool) {
	r := l.runs[id]
	if r == nil {
		return
	}
	if whole && r.isRead() {
		l.pace.observe(now.Sub(r.readAt), r.output)
	}
	if whole {
		l.Read(now, id)
	}
	l.usedAt = now
	delete(l.runs, id)
	l.outputTokens -= r.held
	l.privateTokens -= r.private
	for i := len(r.parts) - 1; i >= 0; i-- { // a part is used more recently than those after it
		p := r.parts[i]
		p.users--
		switch {
		case p.users > 0:
		case p.state == kept:
			l.idle.add(p)
		default:
			l.drop(p)
		}
	}
	l.evict(0)
}

// Cached returns how many tokens of a prompt a new request needn't read, because they are kept
// or are read by requests before it.
func (l *Ledger[R]) Cached(now time.Time, prefixes []Prefix) int {
	return l.length(now, prefixes, func(p *part) bool { return p.state != lost })
}

// Kept returns how many tokens of a prompt have been read and are kept, so that they can be
// copied.
func (l *Ledger[R]) Kept(now time.Time, prefixes []Prefix) int {
	return l.length(now, prefixes, func(p *part) bool { return p.state == kept })
}

// length returns the length of the longest prefix all parts of which are known and accepted.
func (l *Ledger[R]) length(now time.Time, prefixes []Prefix, accepts func(p *part) bool) int {
	length := 0
	if l.isStale(now) {
		return length
	}
	for _, prefix := range prefixes {
		p := l.parts[prefix.Hash]
		if p == nil || !accepts(p) {
			break
		}
		length = prefix.Tokens
	}
	return length
}

// Fits reports whether a request can run beside the running ones without any of them being
// preempted. An engine without running requests takes any request.
func (l *Ledger[R]) Fits(now time.Time, prefixes []Prefix, input, output int) bool {
	if l.capacity == 0 || len(l.runs) == 0 {
		return true
	}
	l.refreshOutputs(now)
	inUse := l.length(now, prefixes, func(p *part) bool { return p.users > 0 })
	return l.held()+max(input-inUse, 0)+max(output, 0) <= l.capacity
}

// Reset records that the engine has lost what it kept, and returns the number of tokens. What
// running requests hold still counts.
func (l *Ledger[R]) Reset(now time.Time) int {
	dropped := l.idle.tokens
	l.usedAt = now
	l.dropIdle()
	for _, p := range l.parts {
		if p.state == kept {
			dropped += p.tokens
			p.state = lost
		}
	}
	return dropped
}

// held returns the tokens that running requests hold.
func (l *Ledger[R]) held() int {
	return l.partTokens - l.idle.tokens + l.privateTokens + l.outputTokens
}

func (l *Ledger[R]) isStale(now time.Time) bool {
	return len(l.runs) == 0 && now.Sub(l.usedAt) >= StaleAfter
}

// refreshOutputs computes anew what the running requests hold for their outputs.
func (l *Ledger[R]) refreshOutputs(now time.Time) {
	if now.Sub(l.outputsAt) < outputRefresh {
		return
	}
	l.outputsAt = now
	l.outputTokens = 0
	for _, r := range l.runs {
		if r.isRead() {
			r.held = l.pace.expectedOutput(now.Sub(r.readAt), r.output)
		}
		l.outputTokens += r.held
	}
	l.evict(0)
}

// evict drops the least recently used parts until the capacity suffices and there is room for
// a number of new parts.
func (l *Ledger[R]) evict(newParts int) {
	for l.idle.oldest != nil && (l.isOverfull() || len(l.parts)+newParts > MaxParts) {
		l.dropOldest()
	}
}

func (l *Ledger[R]) isOverfull() bool {
	return l.capacity > 0 && l.partTokens+l.privateTokens+l.outputTokens > l.capacity
}

func (l *Ledger[R]) dropIdle() {
	for l.idle.oldest != nil {
		l.dropOldest()
	}
}

func (l *Ledger[R]) dropOldest() {
	p := l.idle.oldest
	l.idle.remove(p)
	l.drop(p)
}

func (l *Ledger[R]) drop(p *part) {
	delete(l.parts, p.hash)
	l.partTokens -= p.tokens
}
