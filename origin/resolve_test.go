package origin_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/origin"
)

func view(complete, current bool, versions ...fleet.SoftwareVersion) origin.View {
	return origin.View{Versions: versions, Complete: complete, Current: current}
}

func knows(v origin.View) origin.Statement { return origin.Statement{View: v} }

func records(v origin.View, software fleet.SoftwareVersion) origin.Statement {
	return origin.Statement{View: v, Recorded: true, Software: software}
}

// Guards against a guess where nothing tells which version began a stream, and against refusing
// streams of a service that has had one version all along.
func TestResolve(t *testing.T) {
	t.Parallel()
	sole := view(true, true, "v1")
	cases := []struct {
		name     string
		own      origin.Statement
		others   []origin.Statement
		majority bool
		want     fleet.SoftwareVersion
		source   origin.Source
	}{
		{name: "one version, known all along", own: knows(sole), want: "v1", source: origin.OnlyVersion},
		{name: "two versions", own: knows(view(true, true, "v1", "v2"))},
		{name: "no version known", own: knows(view(true, true))},
		{name: "own record", own: records(view(true, true, "v1", "v2"), "v2"), want: "v2", source: origin.OwnRecord},
		{name: "another router's record", own: knows(view(true, true, "v1", "v2")), others: []origin.Statement{knows(sole), records(sole, "v1")}, want: "v1", source: origin.OtherRecord},
		{name: "record of a version that serves no more", own: knows(sole), others: []origin.Statement{records(sole, "v0")}, want: "v0", source: origin.OtherRecord},
		{name: "records contradict each other", own: knows(sole), others: []origin.Statement{records(sole, "v1"), records(sole, "v2")}},
		{name: "record of an uncertain version", own: records(sole, "")},
		{name: "just started, others know", own: knows(view(false, true, "v1")), others: []origin.Statement{knows(sole)}, want: "v1", source: origin.OnlyVersion},
		{name: "all have just started", own: knows(view(false, true, "v1")), others: []origin.Statement{knows(view(false, true, "v1"))}},
		{name: "another router has already seen the second version", own: knows(sole), others: []origin.Statement{knows(view(true, true, "v1", "v2"))}},
		{name: "another router sees only the second version", own: knows(sole), others: []origin.Statement{knows(view(false, true, "v2"))}},
		{name: "another router knows no upstream yet", own: knows(sole), others: []origin.Statement{knows(view(false, false))}, want: "v1", source: origin.OnlyVersion},
		{name: "old list, nobody answers", own: knows(view(true, false, "v1"))},
		{name: "old list, another one is current", own: knows(view(true, false, "v1")), others: []origin.Statement{knows(sole)}, want: "v1", source: origin.OnlyVersion},
		{name: "old lists everywhere, with a part of the fleet", own: knows(view(true, false, "v1")), others: []origin.Statement{knows(view(true, false, "v1"))}},
		{name: "old lists everywhere, with most of the fleet", own: knows(view(true, false, "v1")), others: []origin.Statement{knows(view(true, false, "v1"))}, majority: true, want: "v1", source: origin.OnlyVersion},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			found, ok := origin.Resolve(c.own, c.others, c.majority)
			require.Equal(t, c.want != "", ok)
			if ok {
				require.Equal(t, origin.Finding{Software: c.want, Source: c.source}, found)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	t.Parallel()
	require.Equal(t, origin.SameVersion, origin.Compare("v1", "v1"))
	require.Equal(t, origin.OtherVersion, origin.Compare("v1", "v2"))
	require.Equal(t, origin.UnknownVersion, origin.Compare("", "v2"))
	require.Equal(t, origin.UnknownVersion, origin.Compare("v1", ""))
}
