package registry

// Position is what a directory's list is up to date with, as routers announce it to each other.
type Position struct {
	// Version is the revision of the latest change up to which all changes have taken effect.
	Version Revision
	// Known is the revision up to which all changes have taken effect; there may be none between
	// Version and Known.
	Known Revision
	// Base is the revision after which the directory can tell all changes. A router that knows less needs
	// the whole list, as the directory has never heard of some of the entries that were removed before.
	Base Revision
	// Latest is the revision of the latest change that has taken effect. It is beyond Known while a removal
	// before it is deferred.
	Latest Revision
	// Digest identifies the list as of Version. It is zero while changes beyond Version have taken effect.
	Digest Digest
}

// Need is what a directory lacks of what another one has.
type Need int

// The needs of a directory.
const (
	// NeedNothing means that the other directory has no more changes.
	NeedNothing Need = iota
	// NeedChanges means that the other directory can tell the changes that are lacking, which is the whole list if
	// this one has none yet.
	NeedChanges
	// NeedList means that the other directory knows more, but can tell it only as a whole list.
	NeedList
	// NeedRead means that the directories contradict each other, and only the store can tell which one is right.
	NeedRead
)

// NeedFrom returns what a directory at position p lacks of what one at another position has.
func (p Position) NeedFrom(other Position) Need {
	differs := p.Digest != 0 && other.Digest != 0 && p.Digest != other.Digest
	isNewer := other.Version > p.Known || other.Latest > max(p.Known, p.Latest)
	switch {
	case isNewer && (other.Base <= p.Known || p.Known == 0):
		return NeedChanges
	case isNewer, differs && other.Base > p.Known:
		return NeedList
	case differs && other.Version == p.Version && other.Known >= p.Base:
		return NeedRead
	}
	return NeedNothing
}
