package turn

import (
	"slices"
	"time"
)

// backlog estimates what an upstream has yet to read of the prompts that one router sent to
// it. Its zero value is empty.
//
// A first event arrives well after its prompt was read. If prompts counted as unread until
// then, upstreams would idle between two prompts. They read in the order of arrival.
type backlog struct {
	// prompts are those without a first event, in the order in which they were sent.
	prompts []prompt
	// tokens is how many of their tokens the upstream has to read.
	tokens int
	// readingSince is when the upstream began to read the first of prompts.
	readingSince time.Time
}

// prompt is a prompt that an upstream was sent.
type prompt struct {
	ticket *Ticket
	// earliest is when the upstream can begin to read it: prompts of other routers go first.
	earliest time.Time
}

// overdueMargin is how much later than expected a first event may be before its upstream
// counts as stuck: a few batch steps, or a lost packet.
const overdueMargin = 100 * time.Millisecond

// add adds a prompt. It is read once the prompts of other routers have been read, from
// earliest on.
func (b *backlog) add(t *Ticket, earliest time.Time) {
	if len(b.prompts) == 0 {
		b.readingSince = earliest
	}
	b.prompts = append(b.prompts, prompt{ticket: t, earliest: earliest})
	b.tokens += t.uncached
}

// remove removes a prompt. readAt is when the upstream had read it, or gave it up.
func (b *backlog) remove(t *Ticket, readAt time.Time) {
	i := slices.IndexFunc(b.prompts, func(p prompt) bool { return p.ticket == t })
	if i < 0 {
		return
	}
	b.tokens -= t.uncached
	b.prompts = slices.Delete(b.prompts, i, i+1)
	if i > 0 || len(b.prompts) == 0 {
		return
	}
	b.readingSince = readAt
	if next := b.prompts[0]; next.earliest.After(readAt) {
		b.readingSince = next.earliest
	}
}

// unread returns how many tokens the upstream has yet to read. Without the next first event
// no more was read than within the overhead after its prompt; once it is overdue, nothing
// counts as read.
func (b *backlog) unread(now time.Time, latency *prefillLatency) int {
	if len(b.prompts) == 0 {
		return 0
	}
	first := b.prompts[0].ticket.uncached
	reading := max(now.Sub(b.readingSince), 0)
	if reading > latency.firstEvent(first)+overdueMargin {
		return b.tokens
	}
	read := min(latency.tokensIn(reading), first+latency.tokensIn(latency.overhead()))
	return max(b.tokens-read, 0)
}

// endsAt returns when the upstream has probably read all prompts, and the zero time if there
// are none.
func (b *backlog) endsAt(latency *prefillLatency) time.Time {
	if len(b.prompts) == 0 {
		return time.Time{}
	}
	return b.readingSince.Add(latency.reading(b.tokens))
}
