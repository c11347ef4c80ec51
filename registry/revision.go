package registry

// Era counts how often the platform's store was restored from a copy that lacks its latest changes.
type Era uint32

// First returns the revision that precedes all changes of an era.
func (e Era) First() Revision { return NewRevision(e, 0) }

// Revision orders the changes to the platform's data. The store numbers them, and gives numbers out again once it was restored
// from a copy, so that a number orders changes only within an era. The era is in the high bits: revisions compare as
// integers.
type Revision uint64

const (
	// numberBits holds more changes than a store of the largest deployment commits in ten years.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// NewRevision returns the revision of the change with a number in an era.
func NewRevision(era Era, number uint64) Revision {
	return Revision(min(uint64(era), maxEra)<<numberBits | min(number, maxNumber))
}

// Era returns the era of a revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number that the store gave a change.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// DecodeRevision returns the revision with a number in an era that another router has told. One of an older build tells no era:
// its numbers are taken as being of the given one.
func DecodeRevision(told *uint32, number uint64, era Era) Revision {
	if told != nil {
		era = Era(*told)
	}
	return NewRevision(era, number)
}
