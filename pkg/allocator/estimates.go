package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// ratioWeight weighs a new ratio of observed to declared run time against those
	// before: about the last fifty tasks of a queue count.
	ratioWeight = 0.02
	// ratioLimit bounds one ratio, so that one straggler moves the estimate little.
	ratioLimit = 4.0
	// needsWeight weighs the size of a new task: about the last hundred count.
	needsWeight = 0.01
	// unknownRunTime stands in before anything was declared or observed.
	unknownRunTime = 200 * time.Millisecond
)

// estimates learn how long tasks run and how large they are.
type estimates struct {
	ratios map[identifier.QueueName]float64
	// milliCPU and memory are the decayed means of what tasks need.
	milliCPU, memory float64
}

func newEstimates() estimates {
	return estimates{ratios: make(map[identifier.QueueName]float64)}
}

// learn takes the run time of one task.
func (estimates *estimates) learn(queue identifier.QueueName, declared, observed time.Duration) {
	if declared <= 0 {
		return
	}
	ratio := min(float64(observed)/float64(declared), ratioLimit)
	known, found := estimates.ratios[queue]
	if !found {
		known = 1
	}
	estimates.ratios[queue] = known + (ratio-known)*ratioWeight
}

// runTime is how long a task is thought to run.
func (estimates *estimates) runTime(queue identifier.QueueName, declared time.Duration) time.Duration {
	if declared <= 0 {
		return unknownRunTime
	}
	ratio, found := estimates.ratios[queue]
	if !found {
		return declared
	}
	return time.Duration(float64(declared) * ratio)
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
