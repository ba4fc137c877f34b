package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"pgregory.net/rapid"
)

var workerCapacity = identifier.Resources{MilliCPU: 32_000, Memory: 64 << 30}

func newPlacer[P Policy](policy P, workers int) *Placer[P] {
	placer := &Placer[P]{Policy: policy, Settings: DefaultSettings(), Seed: 1}
	placer.prepare()
	for number := range workers {
		placer.AddWorker(testWorker(number))
	}
	return placer
}

func testWorker(number int) Worker {
	worker := Worker{
		ID:       identifier.WorkerID(fmt.Sprint("w", number)),
		Rack:     identifier.RackID(fmt.Sprint("r", number/8)),
		Capacity: workerCapacity,
	}
	if number%16 == 0 {
		worker.Capacity.Accelerators = 4
	}
	return worker
}

// Guards against exceeding a worker's capacity or a team's quota, and against running a task
// on two workers. Workers join and die while tasks start, end, grow and are preempted; the
// fault would be an index or total that one of these events does not update.
func TestAccountsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placer := newPlacer(DefaultScoredSample(), 0)
		placer.DefaultQuota = Quota{Limit: identifier.Resources{MilliCPU: 90_000}, TasksInFlight: 12}
		now, tasks := identifier.Moment(0), 0
		placedOn := map[identifier.TaskID]identifier.WorkerID{}
		present := map[identifier.WorkerID]Worker{}
		charges := map[identifier.TaskID]identifier.Resources{}
		var order []identifier.TaskID
		drop := func(task identifier.TaskID) {
			delete(placedOn, task)
			delete(charges, task)
			for position, other := range order {
				if other == task {
					order = append(order[:position], order[position+1:]...)
					return
				}
			}
		}
		pick := func(t *rapid.T) (identifier.TaskID, bool) {
			if len(order) == 0 {
				return "", false
			}
			return rapid.SampledFrom(order).Draw(t, "task"), true
		}
		usedOn := func(worker identifier.WorkerID) (sum identifier.Resources) {
			for task, on := range placedOn {
				if on == worker {
					sum = sum.Add(charges[task])
				}
			}
			return sum
		}
		t.Repeat(map[string]func(*rapid.T){
			"worker-joins": func(t *rapid.T) {
				worker := testWorker(rapid.IntRange(0, 20).Draw(t, "worker"))
				placer.AddWorker(worker)
				present[worker.ID] = worker
			},
			"worker-dies": func(t *rapid.T) {
				worker := testWorker(rapid.IntRange(0, 20).Draw(t, "worker"))
				for _, task := range placer.RemoveWorker(worker.ID) {
					if placedOn[task] != worker.ID {
						t.Fatalf("%s was not on %s", task, worker.ID)
					}
					drop(task)
				}
				if !usedOn(worker.ID).Fits(identifier.Resources{}) {
					t.Fatalf("%s left tasks behind", worker.ID)
				}
				delete(present, worker.ID)
			},
			"submit": func(t *rapid.T) {
				number := rapid.IntRange(0, 11).Draw(t, "group")
				group := Group{
					ID:         GroupID{Intent: identifier.IntentName(fmt.Sprint("i", number))},
					Team:       identifier.TeamID(fmt.Sprint("t", number%4)),
					Urgency:    Urgency(number % urgencies),
					Need:       identifier.Resources{MilliCPU: identifier.MilliCPU(1000 + 2500*number), Memory: 1 << 30},
					RunTime:    time.Duration(number) * time.Second,
					Repeatable: number%5 != 0,
				}
				placer.AddGroup(now, group)
				for range rapid.IntRange(1, 5).Draw(t, "count") {
					tasks++
					placer.Enqueue(now, group.ID, identifier.TaskID(fmt.Sprint("task", tasks)))
				}
			},
			"place": func(t *rapid.T) {
				for _, decision := range placer.Place(now) {
					if decision.Kind != DecisionStart {
						if placedOn[decision.Task] != decision.Worker {
							t.Fatalf("preempted %s, which is not there", decision.Task)
						}
						if placer.groups.Get(decision.Group).Urgency >= placer.groups.Get(decision.For).Urgency {
							t.Fatalf("%s preempted for work that is not more urgent", decision.Task)
						}
						continue
					}
					if _, twice := placedOn[decision.Task]; twice {
						t.Fatalf("%s started twice", decision.Task)
					}
					need := placer.groups.Get(decision.Group).Need
					if !usedOn(decision.Worker).Add(need).Fits(present[decision.Worker].Capacity) {
						t.Fatalf("%s is given more than it has", decision.Worker)
					}
					placedOn[decision.Task] = decision.Worker
					charges[decision.Task] = need
					order = append(order, decision.Task)
				}
			},
			"end": func(t *rapid.T) {
				if task, any := pick(t); any {
					placer.End(task)
					drop(task)
				}
			},
			"recharge": func(t *rapid.T) {
				if task, any := pick(t); any {
					charges[task] = identifier.Resources{MilliCPU: identifier.MilliCPU(rapid.IntRange(0, 50_000).Draw(t, "cpu"))}
					placer.SetCharge(task, charges[task])
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Second)
			},
			"": func(t *rapid.T) {
				total, used := identifier.Resources{}, identifier.Resources{}
				for _, worker := range present {
					total = total.Add(worker.Capacity)
				}
				for _, charge := range charges {
					used = used.Add(charge)
				}
				if placer.Total() != total || placer.Used() != used {
					t.Fatalf("accounts say %v of %v, the oracle %v of %v", placer.Used(), placer.Total(), used, total)
				}
				placer.teams.Each(func(name identifier.TeamID, team *team) bool {
					if team.inFlight > 12 || team.inFlight < 0 {
						t.Fatalf("%s has %d tasks", name, team.inFlight)
					}
					return true
				})
			},
		})
	})
}

// Guards against a batch of wide tasks that waits for hours while utilisation is high. Narrow
// tasks keep arriving, with declared run times that are far too short, and use free capacity
// before there is enough of it for a wide task.
func TestWideTaskDoesNotStarve(t *testing.T) {
	placer := newPlacer(DefaultScoredSample(), 8)
	narrow := Group{ID: GroupID{Intent: "narrow"}, Team: "a", Urgency: UrgencyNormal, Need: identifier.Resources{MilliCPU: 1000}, RunTime: time.Millisecond}
	wide := Group{ID: GroupID{Intent: "wide"}, Team: "b", Urgency: UrgencyNormal, Need: identifier.Resources{MilliCPU: 32_000}, RunTime: time.Second}
	placer.Settings.HeadroomPermille = 0
	placer.AddGroup(0, narrow)
	ends := map[int][]identifier.TaskID{}
	tasks := 0
	for step := range 600 {
		now := identifier.Moment(time.Duration(step) * 100 * time.Millisecond)
		for _, task := range ends[step] {
			placer.End(task)
		}
		for range 40 {
			tasks++
			placer.Enqueue(now, narrow.ID, identifier.TaskID(fmt.Sprint(tasks)))
		}
		if step == 50 {
			placer.AddGroup(now, wide)
			placer.Enqueue(now, wide.ID, "wide")
		}
		for _, decision := range placer.Place(now) {
			if decision.Task == "wide" {
				t.Logf("started after %s", now.Sub(identifier.Moment(5*time.Second)))
				return
			}
			ends[step+20+tasks%30] = append(ends[step+20+tasks%30], decision.Task)
		}
	}
	t.Fatal("the wide task never started")
}

// Guards against one team using the whole failure domain because it submitted its tasks
// first, as under first come, first served.
func TestTeamsShareByDominantResource(t *testing.T) {
	placer := newPlacer(DefaultScoredSample(), 10)
	cpu := Group{ID: GroupID{Intent: "cpu"}, Team: "a", Urgency: UrgencyNormal, Need: identifier.Resources{MilliCPU: 2000, Memory: 1 << 30}, RunTime: time.Second}
	memory := Group{ID: GroupID{Intent: "memory"}, Team: "b", Urgency: UrgencyNormal, Need: identifier.Resources{MilliCPU: 250, Memory: 8 << 30}, RunTime: time.Second}
	for _, group := range []Group{cpu, memory} {
		placer.AddGroup(0, group)
		for number := range 1000 {
			placer.Enqueue(0, group.ID, identifier.TaskID(fmt.Sprint(group.ID.Intent, number)))
		}
	}
	placer.Place(0)
	first, second := placer.share(placer.team("a")), placer.share(placer.team("b"))
	if first < shareScale/2 || second < shareScale/2 {
		t.Fatalf("dominant shares are %d and %d of %d", first, second, shareScale)
	}
}
