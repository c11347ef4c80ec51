package share

const (
	// leadEstimates is the lead, in largest estimates, that an account may have
	// over others that wait, besides half of what these have outstanding. In the
	// virtual-time model 1 to 4 differ little where all wait on; a larger lead
	// widens the gap after a first comer, and without the outstanding part long
	// requests among short ones were taken for a lead of the short ones.
	leadEstimates = 2
	// leadMemory lets the largest estimate sink by a part for each start, so
	// that one very long request does not widen the lead for good.
	leadMemory = 256
)

// limitLead lifts waiting accounts that are too far behind the most served one
// that waits.
//
// An account that finds the fleet idle is given every slot at once, rightly,
// and the others, which come a moment later, can't take them back. When those
// requests have ended it is some dozen largest requests ahead. Were that made
// good in full, nothing of it would be started until all others had got as
// much, for most of a minute with today's sizes, and its callers would see the
// fleet stand still for them after each burst. The lead came from slots that
// nobody else asked for, so it is forgiven but for what keeps the others first
// while they take the slots over.
func (f *Fair[K]) limitLead() {
	lead := leadEstimates * float64(f.largest)
	if lead == 0 {
		return
	}
	most := 0.0
	for _, a := range f.waiting.heap {
		most = max(most, a.service())
	}
	// A lift moves an account in the heap, so those to lift are found first.
	var behind []*account[K]
	for _, a := range f.waiting.heap {
		if a.service()+a.inFlight()+lead < most {
			behind = append(behind, a)
		}
	}
	for _, a := range behind {
		f.raise(a, most-lead-a.inFlight())
		f.mark(a)
		f.place(a)
	}
}

// inFlight returns half of what is outstanding of the account, over weight. By
// that much its service is behind that of an account without any when it is
// their turn alike, which is no lead of the other.
func (a *account[K]) inFlight() float64 {
	return float64((a.outstanding+a.elsewhere)/2) / float64(max(a.waiting.Weight, 1))
}
