package allocator

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// outcomeWeight weighs a new run time against those before: about the last two
	// hundred of a queue count.
	outcomeWeight = 0.005
	// outcomesTrusted is how many run times a queue must have shown before its line is
	// used; before, declared times are taken as they are.
	outcomesTrusted = 30
	// needsWeight weighs the size of a new task: about the last hundred count.
	needsWeight = 0.01
	// unknownRunTime stands in before anything was declared or observed.
	unknownRunTime = 200 * time.Millisecond
)

// estimates learn how long tasks run and how large they are.
type estimates struct {
	queues map[identifier.QueueName]*line
	// milliCPU and memory are the decayed means of what tasks need.
	milliCPU, memory float64
}

// line is the straight line through the logarithms of declared and observed run times
// of one queue, of decayed weight. Declared times are off by two fifths and the tasks of
// a queue are alike, so that the best guess lies between what is declared and what is
// usual; how far between, the data tell.
type line struct {
	outcomes           int
	declared, observed float64
	variance, shared   float64
}

func newEstimates() estimates {
	return estimates{queues: make(map[identifier.QueueName]*line)}
}

// learn takes the run time of one task.
func (estimates *estimates) learn(queue identifier.QueueName, declared, observed time.Duration) {
	if declared <= 0 || observed <= 0 {
		return
	}
	known := estimates.queues[queue]
	if known == nil {
		known = &line{}
		estimates.queues[queue] = known
	}
	known.add(math.Log(float64(declared)), math.Log(float64(observed)))
}

func (line *line) add(declared, observed float64) {
	line.outcomes++
	weight := max(outcomeWeight, 1/float64(line.outcomes))
	offset := declared - line.declared
	line.declared += weight * offset
	line.observed += weight * (observed - line.observed)
	line.variance = (1 - weight) * (line.variance + weight*offset*offset)
	line.shared = (1 - weight) * (line.shared + weight*offset*(observed-line.observed))
}

// runTime is how long a task is thought to run.
func (estimates *estimates) runTime(queue identifier.QueueName, declared time.Duration) time.Duration {
	if declared <= 0 {
		return unknownRunTime
	}
	known := estimates.queues[queue]
	if known == nil || known.outcomes < outcomesTrusted || known.variance == 0 {
		return declared
	}
	slope := min(max(known.shared/known.variance, 0), 1)
	return time.Duration(math.Exp(known.observed + slope*(math.Log(float64(declared))-known.declared)))
}

// noteNeeds takes the size of a task.
func (estimates *estimates) noteNeeds(needs identifier.Resources) {
	if estimates.milliCPU == 0 {
		estimates.milliCPU, estimates.memory = float64(needs.MilliCPU), float64(needs.Memory)
		return
	}
	estimates.milliCPU += (float64(needs.MilliCPU) - estimates.milliCPU) * needsWeight
	estimates.memory += (float64(needs.Memory) - estimates.memory) * needsWeight
}

// usualNeeds is the size of a usual task.
func (estimates *estimates) usualNeeds() identifier.Resources {
	return identifier.Resources{MilliCPU: identifier.MilliCPU(estimates.milliCPU), Memory: identifier.Bytes(estimates.memory)}
}

// spotsIn is how many tasks of the usual size room is for.
func (estimates *estimates) spotsIn(room identifier.Resources) int {
	usual := estimates.usualNeeds()
	if usual == (identifier.Resources{}) {
		return 1
	}
	return usual.CountIn(room)
}
