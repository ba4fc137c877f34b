package planner

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// DivideQuota splits a team's quota between failure domains by their capacities, so that
// each can enforce its part while it is cut off from the others. Each part of a limit that
// is set is at least 1, since 0 means no limit; the parts may then exceed a limit that is
// smaller than the number of failure domains.
func DivideQuota(quota placer.Quota, capacities []identifier.Resources) []placer.Quota {
	cpu := divide(int64(quota.Limit.MilliCPU), capacities, func(capacity identifier.Resources) int64 { return int64(capacity.MilliCPU) })
	memory := divide(int64(quota.Limit.Memory), capacities, func(capacity identifier.Resources) int64 { return int64(capacity.Memory) })
	accelerators := divide(int64(quota.Limit.Accelerators), capacities, func(capacity identifier.Resources) int64 { return int64(capacity.Accelerators) })
	tasks := divide(int64(quota.TasksInFlight), capacities, func(capacity identifier.Resources) int64 { return int64(capacity.MilliCPU) })
	parts := make([]placer.Quota, len(capacities))
	for position := range parts {
		parts[position] = placer.Quota{
			Limit: identifier.Resources{
				MilliCPU:     identifier.MilliCPU(cpu[position]),
				Memory:       identifier.Bytes(memory[position]),
				Accelerators: identifier.Accelerators(accelerators[position]),
			},
			TasksInFlight: int(tasks[position]),
			Weight:        quota.Weight,
		}
	}
	return parts
}

// divide splits a limit by weights; the remainder goes to the first capacity with a weight,
// or to the first one if none has any.
func divide(limit int64, capacities []identifier.Resources, weigh func(identifier.Resources) int64) []int64 {
	parts := make([]int64, len(capacities))
	if limit == 0 || len(capacities) == 0 {
		return parts
	}
	sum := int64(0)
	for _, capacity := range capacities {
		sum += weigh(capacity)
	}
	left := limit
	for position, capacity := range capacities {
		if sum > 0 {
			parts[position] = int64(float64(limit) * (float64(weigh(capacity)) / float64(sum)))
		}
		parts[position] = min(parts[position], left)
		left -= parts[position]
	}
	for position := range parts {
		if left > 0 && weigh(capacities[position]) > 0 || sum == 0 && left > 0 {
			parts[position] += left
			left = 0
		}
		parts[position] = max(parts[position], 1)
	}
	return parts
}
