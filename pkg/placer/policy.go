package placer

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Request asks a policy for a worker.
type Request struct {
	Need identifier.Resources
	// Accept tells whether a position may be used.
	Accept func(position int) bool
	// InRack counts the tasks of the same batch by rack number; racks beyond its
	// length have none.
	InRack []int
	// Running counts the tasks of the same batch.
	Running int
	// OnWorker counts the tasks of the same batch at a position.
	OnWorker func(position int) int
}

// Policy chooses the worker of a task. It returns a position or -1.
type Policy interface {
	Choose(fleet *Fleet, request *Request, random *rand.Rand) int
}

// FirstFit takes the first worker with room. It packs well and is cheap, but it
// fills one rack after the other; it stands as a baseline.
type FirstFit struct{}

// Choose implements Policy.
func (FirstFit) Choose(fleet *Fleet, request *Request, _ *rand.Rand) int {
	return fleet.Next(0, request.Need, request.Accept)
}

// BestFit looks at every worker and takes the one with the least room left. Its
// cost grows with the number of workers; it stands as a baseline.
type BestFit struct{}

// Choose implements Policy.
func (BestFit) Choose(fleet *Fleet, request *Request, _ *rand.Rand) int {
	best, least := -1, int64(0)
	for position := fleet.free.next(0, request.Need, request.Accept); position >= 0; {
		left := leftover(fleet, position, request.Need)
		if best < 0 || left < least {
			best, least = position, left
		}
		position = fleet.free.next(position+1, request.Need, request.Accept)
	}
	return best
}

// ScoredSample scores the workers with room that follow a few evenly spaced
// positions, and takes the best: little room left over, and a rack that has few
// tasks of the same batch. Set Size before use.
type ScoredSample struct {
	// Size is the number of positions looked at.
	Size int
	// SpreadWeight is the score, in thousandths of a worker left over, of a rack
	// that has twice the batch's average.
	SpreadWeight int64
	// WorkerWeight is that of a worker that has the whole batch.
	WorkerWeight int64
}

// DefaultScoredSample returns the policy used where the configuration has none.
func DefaultScoredSample() ScoredSample {
	return ScoredSample{Size: 16, SpreadWeight: 200, WorkerWeight: 500}
}

// Choose implements Policy.
func (sample ScoredSample) Choose(fleet *Fleet, request *Request, random *rand.Rand) int {
	count := fleet.Len()
	if count == 0 {
		return -1
	}
	best, least, last := -1, int64(0), -1
	offset := random.IntN(count)
	for step := range sample.Size {
		start := (offset + step*count/sample.Size) % count
		position := fleet.Next(start, request.Need, request.Accept)
		if position < 0 {
			return -1
		}
		if position == last {
			continue
		}
		last = position
		score := leftover(fleet, position, request.Need) + sample.crowding(fleet, position, request)
		if best < 0 || score < least {
			best, least = position, score
		}
	}
	return best
}

// crowding scores the batch's share of a rack against its average over racks, and
// its share of a worker.
func (sample ScoredSample) crowding(fleet *Fleet, position int, request *Request) int64 {
	rack := fleet.Rack(position)
	if rack >= len(request.InRack) {
		return 0
	}
	here := int64(request.InRack[rack])
	racks := int64(fleet.Racks())
	score := sample.SpreadWeight * here * racks / (2 * int64(request.Running+1))
	if here > 0 && request.OnWorker != nil {
		score += sample.WorkerWeight * int64(request.OnWorker(position)) / int64(request.Running+1)
	}
	return score
}

// leftover returns the room that is left at a position, in thousandths of the
// worker, as the mean of processors and memory.
func leftover(fleet *Fleet, position int, need identifier.Resources) int64 {
	left := fleet.Free(position).Sub(need)
	capacity := fleet.Capacity(position)
	cpu := permilleOf(int64(left.MilliCPU), int64(capacity.MilliCPU))
	memory := permilleOf(int64(left.Memory), int64(capacity.Memory))
	idle := permilleOf(int64(left.Accelerators), int64(capacity.Accelerators))
	return (cpu+memory)/2 + idle
}

// permilleOf returns part as thousandths of whole; none of nothing is zero.
func permilleOf(part, whole int64) int64 {
	if whole <= 0 {
		return 0
	}
	return part * permille / whole
}

// permille is the number of thousandths in a whole.
const permille = 1000
