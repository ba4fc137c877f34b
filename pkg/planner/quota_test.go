package planner

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// TestDividedQuotaKeepsTheLimit guards against a team that runs more than its quota, or
// without any limit in one failure domain. Rounding, or a part of 0, which means no limit,
// can cause it when a quota is divided between failure domains of any size, some without
// capacity.
func TestDividedQuotaKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := placer.Quota{
			Limit:         identifier.Resources{MilliCPU: identifier.MilliCPU(rapid.IntRange(0, 1<<40).Draw(t, "cpu"))},
			TasksInFlight: rapid.IntRange(0, 1000).Draw(t, "tasks"),
		}
		var capacities []identifier.Resources
		for range rapid.IntRange(1, 21).Draw(t, "domains") {
			capacities = append(capacities, identifier.Resources{MilliCPU: identifier.MilliCPU(rapid.IntRange(0, 1<<40).Draw(t, "capacity"))})
		}
		var cpu identifier.MilliCPU
		tasks := 0
		for _, part := range DivideQuota(quota, capacities) {
			if quota.TasksInFlight > 0 && part.TasksInFlight == 0 || quota.Limit.MilliCPU > 0 && part.Limit.MilliCPU == 0 {
				t.Fatalf("a part of %v has no limit: %v", quota, part)
			}
			cpu += part.Limit.MilliCPU
			tasks += part.TasksInFlight
		}
		rounding := len(capacities)
		if cpu > quota.Limit.MilliCPU+identifier.MilliCPU(rounding) || tasks > quota.TasksInFlight+rounding {
			t.Fatalf("the parts of %v add up to %d milli-cpu and %d tasks", quota, cpu, tasks)
		}
		if cpu < quota.Limit.MilliCPU || tasks < quota.TasksInFlight {
			t.Fatalf("the parts of %v add up to only %d milli-cpu and %d tasks", quota, cpu, tasks)
		}
	})
}
