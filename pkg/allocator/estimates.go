package allocator

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// outcomeWeight is the weight of a new run time against the previous ones: about the last two
	// hundred of a queue count.
	outcomeWeight = 0.005
	// minOutcomes is how many run times a queue must have shown before its regression is used;
	// before that, declared times are used as they are.
	minOutcomes = 30
	// needsWeight is the weight of the size of a new task: about the last hundred count.
	needsWeight = 0.01
	// unknownRunTime is the estimate for a task without a declared time.
	unknownRunTime = 200 * time.Millisecond
)

// estimates predict the run times and the sizes of tasks from those seen before.
type estimates struct {
	queues map[identifier.QueueName]*regression
	// milliCPU and memory are the exponentially weighted means of the tasks' needs.
	milliCPU, memory float64
}

// regression is a linear regression of the logarithms of observed on declared run times of one
// queue, with exponentially decaying weights. Declared times are off by two fifths and the tasks of
// a queue are alike, so the best estimate lies between the declared time and the usual time; the
// data determine how far between.
type regression struct {
	outcomes                   int
	meanDeclared, meanObserved float64
	variance, covariance       float64
}

func newEstimates() estimates {
	return estimates{queues: make(map[identifier.QueueName]*regression)}
}

// recordRunTime adds the run time of one task to the regression of its queue.
func (estimates *estimates) recordRunTime(queue identifier.QueueName, declared, observed time.Duration) {
	if declared <= 0 || observed <= 0 {
		return
	}
	known := estimates.queues[queue]
	if known == nil {
		known = &regression{}
		estimates.queues[queue] = known
	}
	known.add(math.Log(float64(declared)), math.Log(float64(observed)))
}

func (regression *regression) add(declared, observed float64) {
	regression.outcomes++
	weight := max(outcomeWeight, 1/float64(regression.outcomes))
	offset := declared - regression.meanDeclared
	regression.meanDeclared += weight * offset
	regression.meanObserved += weight * (observed - regression.meanObserved)
	regression.variance = (1 - weight) * (regression.variance + weight*offset*offset)
	regression.covariance = (1 - weight) * (regression.covariance + weight*offset*(observed-regression.meanObserved))
}

// logRatio is the natural logarithm of a run time over the expected one, and false while nothing
// reliable is expected.
func (estimates *estimates) logRatio(queue identifier.QueueName, declared, observed time.Duration) (float64, bool) {
	known := estimates.queues[queue]
	if declared <= 0 || observed <= 0 || known == nil || known.outcomes < minOutcomes || known.variance == 0 {
		return 0, false
	}
	return math.Log(float64(observed)) - known.expected(math.Log(float64(declared))), true
}

// expected is the expected logarithm of the run time for that of a declared time.
func (regression *regression) expected(declared float64) float64 {
	slope := min(max(regression.covariance/regression.variance, 0), 1)
	return regression.meanObserved + slope*(declared-regression.meanDeclared)
}

// expectedRunTime is how long a task is estimated to run.
func (estimates *estimates) expectedRunTime(queue identifier.QueueName, declared time.Duration) time.Duration {
	if declared <= 0 {
		return unknownRunTime
	}
	known := estimates.queues[queue]
	if known == nil || known.outcomes < minOutcomes || known.variance == 0 {
		return declared
	}
	return time.Duration(math.Exp(known.expected(math.Log(float64(declared)))))
}

// recordNeeds adds the size of a task to the means.
func (estimates *estimates) recordNeeds(needs identifier.Resources) {
	if estimates.milliCPU == 0 {
		estimates.milliCPU, estimates.memory = float64(needs.MilliCPU), float64(needs.Memory)
		return
	}
	estimates.milliCPU += (float64(needs.MilliCPU) - estimates.milliCPU) * needsWeight
	estimates.memory += (float64(needs.Memory) - estimates.memory) * needsWeight
}

// usualNeeds is the mean size of a task; zero before the first one.
func (estimates *estimates) usualNeeds() identifier.Resources {
	return identifier.Resources{MilliCPU: identifier.MilliCPU(estimates.milliCPU), Memory: identifier.Bytes(estimates.memory)}
}

// slotsIn is how many tasks of the usual size fit into some free capacity. While no size is known
// it is one.
func (estimates *estimates) slotsIn(free identifier.Resources) int {
	usual := estimates.usualNeeds()
	if usual == (identifier.Resources{}) {
		return 1
	}
	return usual.CountIn(free)
}
