package replayer

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// fleetStream is the random stream for the sizes and speeds of a mixed fleet.
const fleetStream = 0x666c656574

// fleet draws the hosts and backend servers of a mixed fleet. A nil fleet has equal ones.
type fleet struct{ random *rand.Rand }

func newFleet(seed uint64) *fleet {
	return &fleet{random: rand.New(rand.NewPCG(seed, fleetStream))}
}

// hostSizes are the sizes of hosts: four in five are small.
var hostSizes = []identifier.HostCapacity{
	{MilliCPU: 144, Memory: 144 << 20, Descriptors: 3075, Link: 19_000_000},
	{MilliCPU: 144, Memory: 144 << 20, Descriptors: 3075, Link: 19_000_000},
	{MilliCPU: 192, Memory: 184 << 20, Descriptors: 4100, Link: 25_000_000},
	{},
	{MilliCPU: 480, Memory: 424 << 20, Descriptors: 10250, Link: 62_000_000},
}

// drawHost returns what a host states.
func (fleet *fleet) drawHost() identifier.HostCapacity {
	if fleet == nil {
		return identifier.HostCapacity{}
	}
	return hostSizes[fleet.random.IntN(len(hostSizes))]
}

// serverKind is the size and speed of a backend server; the zero value is the usual one.
type serverKind struct {
	large      bool
	workFactor float64
}

// workFactors are how long tasks take on servers of several speeds, relative to the usual time.
var workFactors = []float64{0.7, 0.7, 1.7}

// drawServer returns the kind of a backend server: one in three is large.
func (fleet *fleet) drawServer() serverKind {
	if fleet == nil {
		return serverKind{}
	}
	return serverKind{large: fleet.random.IntN(3) == 0, workFactor: workFactors[fleet.random.IntN(len(workFactors))]}
}

// slotsOf returns how many slots a server has if a usual one has the given number.
func (kind serverKind) slotsOf(usual identifier.Slots) identifier.Slots {
	if kind.large {
		return usual + usual/2
	}
	return usual
}
