package placer

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Request holds what a policy needs to choose the worker of one task.
type Request struct {
	Need identifier.Resources
	// Accept reports whether a position may be used.
	Accept func(position int) bool
	// TasksByRack is the number of running tasks of the same batch by rack number. Racks
	// beyond its length have none.
	TasksByRack []int
	// Running is the number of running tasks of the same batch.
	Running int
	// TasksOnWorker returns the number of running tasks of the same batch at a position.
	TasksOnWorker func(position int) int
}

// Policy chooses the worker of a task. Choose returns a position, or -1 if none fits.
type Policy interface {
	Choose(fleet *Fleet, request *Request, random *rand.Rand) int
}

// FirstFit chooses the first worker with enough free capacity. It packs well and is cheap,
// but fills one rack after the other. It serves as a baseline.
type FirstFit struct{}

// Choose implements Policy.
func (FirstFit) Choose(fleet *Fleet, request *Request, _ *rand.Rand) int {
	return fleet.Next(0, request.Need, request.Accept)
}

// BestFit examines all workers and chooses the one with the least capacity left over. Its
// cost grows with the number of workers. It serves as a baseline.
type BestFit struct{}

// Choose implements Policy.
func (BestFit) Choose(fleet *Fleet, request *Request, _ *rand.Rand) int {
	best, least := -1, int64(0)
	for position := fleet.free.next(0, request.Need, request.Accept); position >= 0; {
		left := leftoverPermille(fleet, position, request.Need)
		if best < 0 || left < least {
			best, least = position, left
		}
		position = fleet.free.next(position+1, request.Need, request.Accept)
	}
	return best
}

// ScoredSample scores a sample of workers, the first with enough free capacity after each
// of a few evenly spaced positions, and chooses the lowest score: little capacity left
// over, and few tasks of the same batch in the rack and on the worker. Set Size before use.
type ScoredSample struct {
	// Size is the number of positions sampled.
	Size int
	// SpreadWeight is the penalty, in thousandths of a worker left over, for a rack that
	// has twice the batch's average number of tasks.
	SpreadWeight int64
	// WorkerWeight is the penalty for a worker that runs the whole batch.
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
		score := leftoverPermille(fleet, position, request.Need) + sample.spreadPenalty(fleet, position, request)
		if best < 0 || score < least {
			best, least = position, score
		}
	}
	return best
}

// spreadPenalty scores the batch's tasks in the rack, relative to the batch's average per
// rack, and its tasks on the worker.
func (sample ScoredSample) spreadPenalty(fleet *Fleet, position int, request *Request) int64 {
	rack := fleet.Rack(position)
	if rack >= len(request.TasksByRack) {
		return 0
	}
	inSameRack := int64(request.TasksByRack[rack])
	racks := int64(fleet.Racks())
	score := sample.SpreadWeight * inSameRack * racks / (2 * int64(request.Running+1))
	if inSameRack > 0 && request.TasksOnWorker != nil {
		score += sample.WorkerWeight * int64(request.TasksOnWorker(position)) / int64(request.Running+1)
	}
	return score
}

// leftoverPermille returns the capacity left over at a position in thousandths of the
// worker: the mean of processors and memory, plus idle accelerators.
func leftoverPermille(fleet *Fleet, position int, need identifier.Resources) int64 {
	left := fleet.Free(position).Sub(need)
	capacity := fleet.Capacity(position)
	cpu := permilleOf(int64(left.MilliCPU), int64(capacity.MilliCPU))
	memory := permilleOf(int64(left.Memory), int64(capacity.Memory))
	idleAccelerators := permilleOf(int64(left.Accelerators), int64(capacity.Accelerators))
	return (cpu+memory)/2 + idleAccelerators
}

// permilleOf returns part as thousandths of whole, or zero if whole is zero.
func permilleOf(part, whole int64) int64 {
	if whole <= 0 {
		return 0
	}
	return part * permille / whole
}

// permille is the number of thousandths in a whole.
const permille = 1000
