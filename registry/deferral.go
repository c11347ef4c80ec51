package registry

import (
	"time"

	"nutmeglock.example/nutmeglock/fleet"
)

// outageGrace is how long an entry that vanished during an outage is kept while the
// list can be read. Upstreams register again within about two seconds; the
// rest allows for the transfer to this router.
const outageGrace = 2200 * time.Millisecond

const (
	// catchUpWindow is the time after an outage within which changes that were made in it are read.
	catchUpWindow = 300 * time.Millisecond
	// lateRemovalGrace is how long an entry is kept that vanishes later. It has probably left, and must get no
	// requests two seconds after that.
	lateRemovalGrace = 1400 * time.Millisecond
)

// Deferral is a removal that does not take effect yet, because the entry may return.
type Deferral struct {
	Upstream fleet.UpstreamID
	Revision Revision
	// Until is when the removal takes effect; zero while the list can't be read.
	Until time.Time
}

// deferredRemoval is the removal of an entry that vanished during or after an outage and may return.
type deferredRemoval struct {
	// first and last are the revisions between which the entry was removed.
	first, last Revision
	readAt      time.Time
	// due is when the removal takes effect; zero while the list can't be read. left is how
	// long the list has still to be readable until then.
	due  time.Time
	left time.Duration
}

// pause stops the time until a removal takes effect: an upstream can't register again in an outage.
func (r *deferredRemoval) pause(now time.Time) {
	if r.due.IsZero() {
		return
	}
	r.left = max(r.due.Sub(now), 0)
	r.due = time.Time{}
}

// resume lets the time until a removal takes effect run on.
func (r *deferredRemoval) resume(now time.Time) {
	if r.due.IsZero() {
		r.due = now.Add(r.left)
	}
}

// isDue reports whether a removal takes effect now.
func (r *deferredRemoval) isDue(now time.Time) bool {
	return !r.due.IsZero() && !now.Before(r.due)
}

// outage is what is known of the latest outage of the list.
type outage struct {
	unavailable bool
	// availableSince is when the list could be read again, and graceEnd until when
	// entries that vanish may have expired in the outage.
	availableSince time.Time
	graceEnd       time.Time
}

// begin records that the list can't be read.
func (o *outage) begin() { o.unavailable = true }

// end records that the list can be read again.
func (o *outage) end(now time.Time) {
	o.unavailable = false
	o.availableSince = now
	o.graceEnd = now.Add(outageGrace)
}

// mayReturn reports whether an entry that vanishes now may only have expired because
// its upstream could not renew it. A draining upstream has left.
func (o *outage) mayReturn(now time.Time, u Upstream) bool {
	return !u.Draining && (o.unavailable || now.Before(o.graceEnd))
}

// deferRemoval returns the deferral of the removal of an entry that vanishes now.
func (o *outage) deferRemoval(now time.Time, first, last Revision, readAt time.Time) *deferredRemoval {
	r := &deferredRemoval{first: first, last: last, readAt: readAt, left: outageGrace}
	switch {
	case o.unavailable:
		return r
	case now.Sub(o.availableSince) >= catchUpWindow:
		r.left = lateRemovalGrace
	}
	r.due = now.Add(r.left)
	if r.due.After(o.graceEnd) {
		r.due = o.graceEnd
	}
	return r
}
