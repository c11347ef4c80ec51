package share

const (
	// maxLeadEstimates is the lead, in multiples of the largest estimate, that an account
	// may have over others that wait, in addition to half of their outstanding cost. In
	// the virtual-time model values from 1 to 4 differ little when all accounts keep
	// waiting. A larger lead widens the gap after one account found the fleet idle.
	// Without the outstanding part, accounts with short requests seemed to lead those
	// with long requests.
	maxLeadEstimates = 2
	// largestEstimateDecay is the divisor by which the largest estimate decays with each
	// start, so that one very long request doesn't raise the allowed lead for good.
	largestEstimateDecay = 256
)

// limitLead lifts the waiting accounts that are too far behind the waiting account with
// the most service.
//
// An account that finds the fleet idle rightly gets every slot, and accounts that arrive
// a moment later can't take slots back. When its requests have ended it leads by a dozen
// or more of the largest requests. If the others first caught up in full, none of its
// requests would start for most of a minute at current sizes, and its callers would see
// the fleet stall after each burst. As no other account waited for those slots, the lead is
// reduced to the part that lets the others go first while they take over the slots.
func (f *Fair[K]) limitLead() {
	maxLead := maxLeadEstimates * float64(f.largestEstimate)
	if maxLead == 0 {
		return
	}
	highest := 0.0
	for _, a := range f.waiting.heap {
		highest = max(highest, a.servicePerWeight())
	}
	// A lift moves an account within the heap, so collect the accounts first.
	var behind []*account[K]
	for _, a := range f.waiting.heap {
		if a.servicePerWeight()+a.halfOutstandingPerWeight()+maxLead < highest {
			behind = append(behind, a)
		}
	}
	for _, a := range behind {
		f.raiseService(a, highest-maxLead-a.halfOutstandingPerWeight())
		f.markChanged(a)
		f.requeue(a)
	}
}

// halfOutstandingPerWeight returns half of the account's outstanding cost across the
// fleet, divided by its weight. Of two accounts with equal virtual time, the one with
// outstanding cost has less service by this amount, which isn't a lead of the other.
func (a *account[K]) halfOutstandingPerWeight() float64 {
	return float64((a.outstanding+a.outstandingElsewhere)/2) / float64(max(a.backlog.Weight, 1))
}
