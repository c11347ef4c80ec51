package registry_test

import (
	"fmt"
	"testing"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
)

// The load of a large fleet: each announcement that a router sends or receives asks for the position of its list.
func BenchmarkPosition(b *testing.B) {
	for _, upstreams := range []int{90, 3000} {
		b.Run(fmt.Sprint(upstreams, " upstreams"), func(b *testing.B) {
			var d registry.Directory
			var list []registry.Change
			for i := range upstreams {
				list = append(list, entry(fleet.UpstreamID(fmt.Sprintf("i-%010x", i)), registry.Revision(i+1)))
			}
			d.Replace(start, list, registry.Revision(upstreams))
			for b.Loop() {
				_ = d.Position()
			}
		})
	}
}
