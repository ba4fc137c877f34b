package allocator

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	_ "github.com/stoathitch/stoathitch/pkg/seeder"
)

// TestServerIndexFindsWhatAScanFinds guards against an incarnation that is overlooked at an address
// or under a server id, whose runs would then go on unnoticed.
func TestServerIndexFindsWhatAScanFinds(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		index := newServerIndex()
		var known []*server
		for step := range rapid.IntRange(1, 40).Draw(draw, "steps") {
			if len(known) > 0 && rapid.IntRange(0, 3).Draw(draw, "action") == 0 {
				position := rapid.IntRange(0, len(known)-1).Draw(draw, "removed")
				index.remove(known[position])
				known = slices.Delete(known, position, position+1)
				continue
			}
			added := &server{report: drawnReport(draw, step)}
			index.add(added)
			known = append(known, added)
		}
		wanted := drawnReport(draw, 0)
		want := slices.DeleteFunc(slices.Clone(known), func(other *server) bool {
			return other.report.Address != wanted.Address && !other.sharesID(wanted.Server)
		})
		if found := index.sharing(&wanted); !slices.Equal(found, want) {
			draw.Fatalf("found %d incarnations, want %d", len(found), len(want))
		}
	})
}

// drawnReport draws one of few ids and addresses, so that many incarnations share them.
func drawnReport(draw *rapid.T, step int) messenger.ServerReport {
	id := identifier.BackendServerID(fmt.Sprintf("server-%d", rapid.IntRange(0, 3).Draw(draw, "id")))
	return messenger.ServerReport{
		Server:  identifier.NewServerIncarnation(id, identifier.UnixMilliseconds(1000+step)),
		Address: fmt.Sprintf("address-%d", rapid.IntRange(0, 3).Draw(draw, "address")),
	}
}

// BenchmarkJoin measures how a host learns of the backend servers of its cell.
func BenchmarkJoin(b *testing.B) {
	for _, servers := range []int{250, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var inputs []Input
			for number := range servers {
				id := identifier.BackendServerID(fmt.Sprintf("server-%d", number))
				inputs = append(inputs, &ReportArrived{Report: messenger.ServerReport{
					Server:  identifier.NewServerIncarnation(id, 1000),
					Service: "desk", Address: fmt.Sprintf("address-%d", number), FailureDomain: "leuven",
					Capacity: identifier.Resources{MilliCPU: 1000, Memory: 1 << 30}, Sequence: 1,
				}})
			}
			for b.Loop() {
				allocator := &Allocator{FailureDomain: "leuven", Settings: DefaultSettings()}
				allocator.Tick(1, inputs)
			}
		})
	}
}
