package placer

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

var experiment = flag.Bool("experiment", false, "run the experiment that compares the policies")

const (
	experimentStep  = 100 * time.Millisecond
	experimentSteps = 900
	warmUpSteps     = 300
)

// trial is one simulation of the experiment in virtual time.
type trial[P Policy] struct {
	placer    *Placer[P]
	random    *rand.Rand
	load      float64
	workers   int
	now       identifier.Moment
	step      int
	tasks     int
	budget    float64
	pending   map[identifier.TaskID]*pendingTask
	ends      map[int][]identifier.TaskID
	waits     [urgencies][]time.Duration
	wide      []time.Duration
	spread    []float64
	used      float64
	lost      time.Duration
	preempted int
	starts    int
	spent     time.Duration
}

type pendingTask struct {
	group   Group
	since   identifier.Moment
	started identifier.Moment
	actual  time.Duration
	endStep int
}

// arrive submits batches whose processor time is load times what the workers provide in
// one step.
func (trial *trial[P]) arrive() {
	trial.budget += trial.load * float64(trial.workers) * 32_000 * experimentStep.Seconds()
	for trial.budget > 0 {
		group := trial.batch()
		count := 1 + trial.random.IntN(60)
		if group.Need.MilliCPU > 16_000 {
			count = 1 + trial.random.IntN(4)
		}
		trial.placer.AddGroup(trial.now, group)
		for range count {
			trial.tasks++
			task := identifier.TaskID(fmt.Sprint("task", trial.tasks))
			actual := time.Duration(float64(group.RunTime) * math.Exp(trial.random.NormFloat64()*0.7))
			trial.pending[task] = &pendingTask{group: group, since: trial.now, actual: actual}
			trial.placer.Enqueue(trial.now, group.ID, task)
			trial.budget -= float64(group.Need.MilliCPU) * actual.Seconds()
		}
	}
}

func (trial *trial[P]) batch() Group {
	trial.tasks++
	group := Group{
		ID:             GroupID{Intent: identifier.IntentName(fmt.Sprint("i", trial.tasks))},
		Team:           identifier.TeamID(fmt.Sprint("t", trial.random.IntN(20))),
		Urgency:        UrgencyNormal,
		Repeatable:     trial.random.IntN(10) > 0,
		Checkpointable: trial.random.IntN(2) > 0,
	}
	switch dice := trial.random.IntN(100); {
	case dice < 10:
		group.Urgency = UrgencyUrgent
	case dice < 40:
		group.Urgency = UrgencyBackground
	}
	switch dice := trial.random.IntN(100); {
	case dice < 70:
		group.Need = identifier.Resources{MilliCPU: 500, Memory: 1 << 30}
		group.RunTime = time.Second
	case dice < 95:
		group.Need = identifier.Resources{MilliCPU: 4000, Memory: 6 << 30}
		group.RunTime = 4 * time.Second
	default:
		group.Need = identifier.Resources{MilliCPU: 28_000, Memory: 40 << 30}
		group.RunTime = 8 * time.Second
	}
	return group
}

func (trial *trial[P]) end() {
	for _, task := range trial.ends[trial.step] {
		ended := trial.pending[task]
		if ended == nil || ended.endStep != trial.step || !trial.placer.End(task) {
			continue
		}
		if trial.now.Sub(ended.started) < ended.actual {
			trial.preempted++
			if ended.group.Checkpointable {
				ended.actual -= trial.now.Sub(ended.started)
			} else {
				trial.lost += trial.now.Sub(ended.started)
			}
			ended.since = trial.now
			trial.placer.Enqueue(trial.now, ended.group.ID, task)
			continue
		}
		delete(trial.pending, task)
		trial.placer.ForgetTask(task)
		trial.placer.ForgetGroup(ended.group.ID)
	}
	delete(trial.ends, trial.step)
}

func (trial *trial[P]) place() {
	before := time.Now()
	decisions := trial.placer.Place(trial.now)
	if trial.step > warmUpSteps {
		trial.spent += time.Since(before)
	}
	racks := map[identifier.IntentName]map[int]int{}
	for _, decision := range decisions {
		task := trial.pending[decision.Task]
		steps := 1
		if decision.Kind == DecisionStart {
			task.started = trial.now
			steps = max(1, int((task.actual+experimentStep-1)/experimentStep))
			trial.recordStart(task)
			position := trial.placer.fleet.positions[decision.Worker]
			if racks[decision.Group.Intent] == nil {
				racks[decision.Group.Intent] = map[int]int{}
			}
			racks[decision.Group.Intent][trial.placer.fleet.Rack(position)]++
		}
		task.endStep = trial.step + steps
		trial.ends[task.endStep] = append(trial.ends[task.endStep], decision.Task)
	}
	for _, counts := range racks {
		sum, most := 0, 0
		for _, count := range counts {
			sum, most = sum+count, max(most, count)
		}
		if sum >= 8 && trial.step > warmUpSteps {
			trial.spread = append(trial.spread, float64(most)/float64(sum))
		}
	}
}

func (trial *trial[P]) recordStart(task *pendingTask) {
	if trial.step <= warmUpSteps {
		return
	}
	trial.starts++
	wait := trial.now.Sub(task.since)
	trial.waits[task.group.Urgency] = append(trial.waits[task.group.Urgency], wait)
	if task.group.Need.MilliCPU > 16_000 {
		trial.wide = append(trial.wide, wait)
	}
}

func runTrial[P Policy](t *testing.T, name string, policy P, workers int, load float64, settings Settings) {
	trial := &trial[P]{
		placer:  newPlacer(policy, workers),
		random:  rand.New(rand.NewPCG(7, 7)),
		load:    load,
		workers: workers,
		pending: map[identifier.TaskID]*pendingTask{},
		ends:    map[int][]identifier.TaskID{},
	}
	trial.placer.Settings = settings
	trial.placer.Settings.DecisionsPerCall = 1 << 20
	for trial.step = 1; trial.step <= experimentSteps; trial.step++ {
		trial.now = trial.now.Add(experimentStep)
		trial.end()
		trial.arrive()
		trial.place()
		if trial.step > warmUpSteps {
			trial.used += float64(trial.placer.Used().MilliCPU) / float64(trial.placer.Total().MilliCPU)
		}
	}
	mean := 0.0
	for _, share := range trial.spread {
		mean += share / float64(len(trial.spread))
	}
	t.Logf("%-14s workers=%d load=%.2f used=%.1f%% urgent=%s normal=%s background=%s wide=%s most-in-one-rack=%.0f%% preempted=%d lost=%s starts=%d each=%s",
		name, workers, load, 100*trial.used/float64(experimentSteps-warmUpSteps),
		quantiles(trial.waits[UrgencyUrgent]), quantiles(trial.waits[UrgencyNormal]), quantiles(trial.waits[UrgencyBackground]),
		quantiles(trial.wide), 100*mean, trial.preempted, trial.lost.Round(time.Second), trial.starts,
		(trial.spent / time.Duration(max(trial.starts, 1))).Round(10*time.Nanosecond))
}

func quantiles(waits []time.Duration) string {
	if len(waits) == 0 {
		return "-"
	}
	slices.SortFunc(waits, cmp.Compare[time.Duration])
	return fmt.Sprintf("%s/%s", waits[len(waits)/2], waits[len(waits)*99/100])
}

// TestExperiment prints utilisation, waits (median/99th percentile) and the cost per start of
// each policy.
func TestExperiment(t *testing.T) {
	if !*experiment {
		t.Skip("only with -experiment")
	}
	for _, load := range []float64{0.7, 0.95} {
		for _, workers := range []int{50, 250} {
			runTrial(t, "first-fit", FirstFit{}, workers, load, DefaultSettings())
			runTrial(t, "best-fit", BestFit{}, workers, load, DefaultSettings())
			runTrial(t, "scored-sample", DefaultScoredSample(), workers, load, DefaultSettings())
		}
	}
	none := DefaultSettings()
	none.ReserveAfter = time.Hour
	runTrial(t, "no-reservation", DefaultScoredSample(), 250, 0.95, none)
	none = DefaultSettings()
	none.PreemptionsPerWindow = 0
	runTrial(t, "no-preemption", DefaultScoredSample(), 250, 0.95, none)
	none = DefaultSettings()
	none.HeadroomPermille = 0
	runTrial(t, "no-headroom", DefaultScoredSample(), 250, 0.95, none)
}

func BenchmarkFirstFit(b *testing.B)     { benchmarkPolicy(b, FirstFit{}) }
func BenchmarkBestFit(b *testing.B)      { benchmarkPolicy(b, BestFit{}) }
func BenchmarkScoredSample(b *testing.B) { benchmarkPolicy(b, DefaultScoredSample()) }

// benchmarkPolicy measures the start and end of one task on workers that are four fifths full.
func benchmarkPolicy[P Policy](b *testing.B, policy P) {
	for _, workers := range []int{50, 250, 5200} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			placer := newPlacer(policy, workers)
			placer.Settings.DecisionsPerCall = 1 << 20
			fill := Group{ID: GroupID{Intent: "fill"}, Team: "a", Urgency: UrgencyNormal, Need: identifier.Resources{MilliCPU: 3200, Memory: 2 << 30}, RunTime: time.Hour}
			placer.AddGroup(0, fill)
			names := make([]identifier.TaskID, workers*8)
			for number := range names {
				names[number] = identifier.TaskID(fmt.Sprint("fill", number))
			}
			placer.Enqueue(0, fill.ID, names...)
			placer.Place(0)
			probe := Group{ID: GroupID{Intent: "probe"}, Team: "b", Urgency: UrgencyUrgent, Need: identifier.Resources{MilliCPU: 500, Memory: 1 << 30}, RunTime: time.Second}
			placer.AddGroup(0, probe)
			b.ResetTimer()
			for b.Loop() {
				placer.Enqueue(0, probe.ID, "probe")
				placer.Place(0)
				placer.End("probe")
			}
		})
	}
}
