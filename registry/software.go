package registry

import "nutmeglock.example/nutmeglock/fleet"

// softwareOf returns the software version after a change. A router that doesn't know of versions
// passes changes on without them.
func (e entry) softwareOf(c Change) fleet.SoftwareVersion {
	if c.Upstream.Software == "" && c.Upstream.StartTime == e.change.Upstream.StartTime {
		return e.change.Upstream.Software
	}
	return c.Upstream.Software
}

// addSoftware adds the software version to an entry that lacks it, if an equally new change tells
// it. It returns the change of the entry, if any.
func (d *Directory) addSoftware(e entry, c Change) []Change {
	known := e.change
	if c.Revision != known.Revision || c.Removed || known.Removed || known.Upstream.Software != "" || c.Upstream.Software == "" {
		return nil
	}
	e.change.Upstream.Software = c.Upstream.Software
	d.set(e)
	return []Change{e.change}
}
