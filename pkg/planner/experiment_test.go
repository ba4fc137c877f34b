package planner

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

var experiment = flag.Bool("experiment", false, "run the experiment on declarations that are far off")

// usedPermille is the real usage of each kind of batch relative to its declaration.
var usedPermille = map[guarder.Kind]int64{"over": 333, "right": 1000, "under": 2000}

// TestExperiment saturates a failure domain of 50 workers with batches whose declarations
// are far off (row 15), with and without usage reports. It prints the real processor
// utilisation, how often workers are used beyond their capacity, and the number of tasks
// that succeeded and that were stopped or checkpointed.
func TestExperiment(t *testing.T) {
	if !*experiment {
		t.Skip("only with -experiment")
	}
	for _, mode := range []struct {
		name             string
		reports, learned bool
	}{{"declared-only", false, false}, {"reports", true, false}, {"reports-and-learning", true, true}} {
		world := newWorld(t, 50)
		world.withoutReports = !mode.reports
		random := rand.New(rand.NewPCG(5, 5))
		world.behave = func(start StartTask) (time.Duration, TaskEnd, identifier.Resources) {
			batch := world.machine.Get(start.Intent).Spec.Batches[start.Batch]
			share := usedPermille[batch.Kind]
			used := identifier.Resources{
				MilliCPU: batch.Need.MilliCPU * identifier.MilliCPU(share) / 1000,
				Memory:   batch.Need.Memory / 1000 * identifier.Bytes(share),
			}
			return batch.RunTime, EndSucceeded, used
		}
		world.runExperiment(random, mode.name, mode.learned)
	}
}

func (world *world) runExperiment(random *rand.Rand, name string, learned bool) {
	const seconds, warmUp = 420, 120
	used, over, overMemory, guarded := 0.0, 0, 0, 0
	for second := range seconds {
		if second%15 == 12 {
			world.submitMix(random, second)
		}
		if !learned {
			world.machine.learned = &guarder.Learner{}
			world.driver.Learner, world.shadow.Learner = &guarder.Learner{}, &guarder.Learner{}
		}
		world.trace = nil
		world.step(time.Second, len(world.proposals), true)
		if second < warmUp {
			continue
		}
		for _, output := range world.trace {
			if len(output) > 10 && (output[:10] == "checkpoint" || output[:4] == "stop") {
				guarded++
			}
		}
		for _, worker := range world.workers {
			var sum identifier.Resources
			for _, run := range worker.running {
				sum = sum.Add(run.used)
			}
			used += float64(min(sum.MilliCPU, testCapacity.MilliCPU)) / float64(testCapacity.MilliCPU)
			if !sum.Fits(testCapacity) {
				over++
			}
			if sum.Memory > testCapacity.Memory {
				overMemory++
			}
		}
	}
	ended := 0
	for _, name := range world.machine.Names() {
		ended += world.machine.Get(name).Tally()[OutcomeSucceeded]
	}
	samples := float64((seconds - warmUp) * len(world.workers))
	world.t.Logf("%-21s processors really used %.1f%%, workers beyond their capacity %.2f%% of the time (memory %.2f%%), succeeded %d, stopped or checkpointed %d",
		name, 100*used/samples, 100*float64(over)/samples, 100*float64(overMemory)/samples, ended, guarded)
}

func (world *world) submitMix(random *rand.Rand, second int) {
	for number := range 6 {
		kind := guarder.Kind("over")
		switch dice := random.IntN(10); {
		case dice < 2:
			kind = "under"
		case dice < 4:
			kind = "right"
		}
		intent := identifier.IntentName(fmt.Sprint("i", second, "-", number))
		spec := Spec{Team: identifier.TeamID(fmt.Sprint("t", number)), Urgency: placer.UrgencyNormal, Batches: []Batch{{
			Kind: kind, Count: 60, RunTime: 20 * time.Second, Repeatable: true, Checkpointable: true,
			Need: identifier.Resources{MilliCPU: 1000, Memory: 1 << 30},
		}}}
		world.apply(Command{Kind: CommandCreate, Name: intent, Operator: "an", Spec: &spec})
		planned := world.propose(intent)
		world.apply(Command{Kind: CommandConfirm, Name: intent, Operator: "an", Revision: planned.Revision, PlanNumber: 1})
	}
}
