package coordinator_test

import (
	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// taskCPU is what each task of a called server needs, in thousandths of a core.
const taskCPU = 1000

// serverKind is the size and speed of a called server.
type serverKind struct {
	// room is how many tasks it runs at once.
	room int
	// workPermille is how long tasks take there, in thousandths of the usual time.
	workPermille int
}

// usualServer is the kind of all servers outside of mixed fleets.
var usualServer = serverKind{room: 3, workPermille: 1000}

// drawServerKind draws the kind of a server that starts in a mixed fleet. Other fleets draw nothing, so
// that saved cases keep their course.
func (world *calledWorld) drawServerKind() serverKind {
	if world.harsh == nil || !world.harsh.kinds.mixedFleet {
		return usualServer
	}
	return serverKind{
		room:         rapid.SampledFrom([]int{3, 3, 4}).Draw(world.draw, "room"),
		workPermille: rapid.SampledFrom([]int{700, 700, 1700}).Draw(world.draw, "work factor"),
	}
}

// drawHostCapacity draws a small host, a large one, or one that states nothing.
func drawHostCapacity(draw *rapid.T) identifier.HostCapacity {
	return rapid.SampledFrom([]identifier.HostCapacity{
		{MilliCPU: 144, Memory: 144 << 20, Descriptors: 3075, Link: 19_000_000},
		{MilliCPU: 144, Memory: 144 << 20, Descriptors: 3075, Link: 19_000_000},
		{MilliCPU: 480, Memory: 424 << 20, Descriptors: 10250, Link: 62_000_000},
		{},
	}).Draw(draw, "host size")
}

// newNetworkOfKinds makes a network whose hosts have several sizes in a mixed fleet.
func newNetworkOfKinds(draw *rapid.T, domains []identifier.FailureDomain, hosts int, settings coordinator.Settings, kinds harshKinds) *network {
	if !kinds.mixedFleet {
		return newNetworkWith(domains, hosts, settings)
	}
	return startNetworkOf(domains, hosts, 0, 0, settings, func() identifier.HostCapacity { return drawHostCapacity(draw) })
}
