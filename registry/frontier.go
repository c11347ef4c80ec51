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
}

// extend records that all changes up to a revision have been received, and the revision of the latest of them.
func (f *frontier) extend(known, newest Revision) {
	f.known = max(f.known, known, newest)
	f.newest = max(f.newest, newest)
}

// extendWhole records that the whole list was received as of a revision.
func (f *frontier) extendWhole(as, newest Revision) {
	if as > f.known {
		f.base = as
	}
	f.extend(as, newest)
}
