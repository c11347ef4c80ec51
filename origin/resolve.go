package origin

import (
	"fmt"
	"slices"

	"nutmeglock.example/nutmeglock/fleet"
)

// View is what one router knows of the software versions of a service.
type View struct {
	// Versions are those of the upstreams that are listed now, or were for as long as a stream can
	// be taken up again.
	Versions []fleet.SoftwareVersion
	// Complete is set if the router knows all versions of that time.
	Complete bool
	// Current is set if the router's list of upstreams was confirmed recently.
	Current bool
}

// sole returns the only version of the view, and false if there are several or none.
func (v View) sole() (fleet.SoftwareVersion, bool) {
	if len(v.Versions) != 1 {
		return "", false
	}
	return v.Versions[0], true
}

// IsMixed reports whether the service has several versions.
func (v View) IsMixed() bool { return len(v.Versions) > 1 }

// Statement is what one router knows of the origin of a stream.
type Statement struct {
	View
	// Recorded is set if the router has a record of the stream, and Software is what it says.
	Recorded bool
	Software fleet.SoftwareVersion
}

// UnknownError reports that nothing tells which software version began a stream.
type UnknownError struct {
	Service fleet.ServiceID
	// Versions are all versions that the routers know of.
	Versions []fleet.SoftwareVersion
	// Asked and Answered count the other routers that were asked and have answered.
	Asked, Answered int
	// IsUnconfirmed is set if only one version is known, but the store didn't confirm that there is no other.
	IsUnconfirmed bool
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown which software version of %s began the stream, of %q; %d of %d routers answered, unconfirmed %t", e.Service, e.Versions, e.Answered, e.Asked, e.IsUnconfirmed)
}

// Source is how the version that began a stream is known.
type Source string

// The sources.
const (
	// OwnRecord means that this router has a record of the stream.
	OwnRecord Source = "own-record"
	// OtherRecord means that another router has one.
	OtherRecord Source = "other-record"
	// ThisAnswer means that the stream began in the same answer.
	ThisAnswer Source = "this-answer"
	// OnlyVersion means that the service has had no other version.
	OnlyVersion Source = "only-version"
)

// Finding is the software version that began a stream, and how it is known.
type Finding struct {
	Software fleet.SoftwareVersion
	Source   Source
}

// AddVersions adds versions that another router knows of.
func (e *UnknownError) AddVersions(versions []fleet.SoftwareVersion) {
	e.Versions = append(slices.Clone(e.Versions), versions...)
	slices.Sort(e.Versions)
	e.Versions = slices.Compact(e.Versions)
}

// Resolve finds which software version began a stream, by the statements of this router and of
// others, and returns false if they don't tell it. Without a record, all must agree that the service
// has had one version. reachesMajority rules out that another part of the fleet knows more.
func Resolve(own Statement, others []Statement, reachesMajority bool) (Finding, bool) {
	all := append([]Statement{own}, others...)
	if i := slices.IndexFunc(all, func(s Statement) bool { return s.Recorded }); i >= 0 {
		found := Finding{Software: all[i].Software, Source: OtherRecord}
		if own.Recorded {
			found.Source = OwnRecord
		}
		contradicted := slices.ContainsFunc(all, func(s Statement) bool { return s.Recorded && s.Software != found.Software })
		return found, found.Software != "" && !contradicted
	}
	version, ok := own.sole()
	if !ok {
		return Finding{}, false
	}
	complete, current := false, reachesMajority
	for _, s := range all {
		if other, sole := s.sole(); len(s.Versions) > 0 && (!sole || other != version) {
			return Finding{}, false
		}
		complete = complete || s.Complete
		current = current || s.Current
	}
	return Finding{Software: version, Source: OnlyVersion}, complete && current
}
