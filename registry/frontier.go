package registry

// frontier is what a directory knows of the order of changes. Its zero value is that of a directory
// that knows nothing.
type frontier struct {
	// known is the revision up to which all changes have been received.
	known Revision
	// base is the revision as of which the whole list was last received. Of the removals up to it only those
	// of entries that were known before are known.
	base Revision
	// newest is the revision of the latest change up to known.
	newest Revision
	// later is the revision of a change beyond known that is in effect here already; zero for none.
	later Revision
}

// extend records that all changes up to a revision have been received, and the revision of the latest of them.
func (f *frontier) extend(known, newest Revision) {
	f.known = max(f.known, known, newest)
	f.newest = max(f.newest, newest)
	if f.later <= f.known {
		f.newest = max(f.newest, f.later)
		f.later = 0
	}
}

// addOverlooked records that a change was received which a later one, in effect already, has replaced. Then the later one is
// a change too, even if it seemed to repeat what was known.
func (f *frontier) addOverlooked(change, later Revision) {
	if change > f.known {
		f.later = max(f.later, later)
	}
}

// extendWhole records that the whole list was received as of a revision.
func (f *frontier) extendWhole(as, newest Revision) {
	if as > f.known {
		f.base = as
	}
	f.extend(as, newest)
}
