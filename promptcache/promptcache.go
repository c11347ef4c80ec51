// Package promptcache tracks which parts of prompts a model engine keeps, and how much of its
// memory running requests hold.
//
// It handles load under which an engine's memory is scarce. Running requests and kept parts
// share it. Without a ledger, requests are sent for parts that were evicted, copies are
// requested from engines that haven't read the part yet, and an engine is filled until it
// preempts its newest request in the middle of the stream.
//
// A Ledger is right only at a router through which all requests to the engine pass. It uses no
// network and no clock; times are passed in. It isn't safe for concurrent use.
package promptcache

// Prefix is a prefix of a prompt that other prompts may share. A part of a prompt is what a
// prefix has beyond the one before it.
type Prefix struct {
	// Hash identifies the whole text of the prefix.
	Hash uint64
	// Tokens is the length of the prefix.
	Tokens int
}

// state is what is known of a part.
type state int

const (
	// lost parts belong to a request that ran when the engine lost its memory. They take
	// memory until that request ends.
	lost state = iota
	// reading parts belong to a request whose first event hasn't arrived.
	reading
	// kept parts have been read and can be copied.
	kept
)

// part is a part of a prompt that takes memory of the engine, identified by the hash of the
// prefix that it ends.
type part struct {
	hash   uint64
	tokens int
	state  state
	// users is the number of running requests with this part.
	users int
	// older and newer link the parts without users in the order of their last use.
	older, newer *part
}

// idleParts is a list of the parts without users. Its zero value is empty.
type idleParts struct {
	oldest, newest *part
	tokens         int
}

// add adds a part as the most recently used one.
func (l *idleParts) add(p *part) {
	p.older, p.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = p
	} else {
		l.oldest = p
	}
	l.newest = p
	l.tokens += p.tokens
}

func (l *idleParts) remove(p *part) {
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		l.oldest = p.newer
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		l.newest = p.older
	}
	p.older, p.newer = nil, nil
	l.tokens -= p.tokens
}
