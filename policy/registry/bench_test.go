package registry_test

import (
	"fmt"
	"testing"

	"github.com/carobmill/carobmill/policy/registry"
)

// BenchmarkUsable measures what a change of one replica costs a node that then lists all
// usable replicas again.
func BenchmarkUsable(b *testing.B) {
	for _, n := range []int{113, 9700, 20000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			table := registry.NewTable()
			for i := range n {
				table.Put(registry.Replica{ID: fmt.Sprintf("i-%05d", i), Service: fmt.Sprintf("s%d", i%227), Address: "10.0.0.1:80", DataCentre: "a"}, 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Usable(nil, func(*registry.Replica) bool { return false })
			}
		})
	}
}
