// Package placer decides which worker runs which task, for the workers of one failure
// domain.
//
// Batches of higher urgency go first; within one urgency, the team with the smallest
// dominant share goes first (dominant resource fairness). A batch whose next task fits on
// no worker gets a reservation on one, which other batches may use only for tasks that end
// in time (backfill), so that tasks that need most of a worker don't starve among small
// ones. Urgent batches may preempt a bounded number of less urgent tasks.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings hold the limits and delays of a placer.
type Settings struct {
	// HeadroomPermille is the share of all processors and memory, in thousandths, that
	// only urgent batches may use.
	HeadroomPermille int64
	// Aging is the time without a start after which a waiting batch counts as one step
	// more urgent; zero turns aging off.
	Aging time.Duration
	// ReserveAfter is the time without a start after which a blocked batch gets a
	// reservation.
	ReserveAfter time.Duration
	// ReservedPermille is the maximum share of workers, in thousandths, that are reserved
	// at once. One worker may always be reserved.
	ReservedPermille int
	// PreemptionsPerWindow is the maximum number of tasks preempted within each Window.
	PreemptionsPerWindow int
	Window               time.Duration
	// PreemptionsPerTask is the maximum number of times that one task is preempted.
	PreemptionsPerTask int
	// DecisionsPerCall limits the starts in one call of Place: an urgency level stops once
	// that many decisions were made.
	DecisionsPerCall int
}

// DefaultSettings returns the settings used where the configuration has none.
func DefaultSettings() Settings {
	return Settings{
		HeadroomPermille:     50,
		Aging:                2 * time.Minute,
		ReserveAfter:         2 * time.Second,
		ReservedPermille:     125,
		PreemptionsPerWindow: 32,
		Window:               10 * time.Second,
		PreemptionsPerTask:   2,
		DecisionsPerCall:     1024,
	}
}

//go:generate enumer -type=DecisionKind -transform=kebab -trimprefix=Decision -text

// DecisionKind is the action that a Decision requests for a task.
type DecisionKind int

// The kinds of decisions.
const (
	// DecisionStart starts a task on a worker.
	DecisionStart DecisionKind = iota
	// DecisionCheckpoint preempts a task that can save its progress.
	DecisionCheckpoint
	// DecisionStop preempts a task that loses its progress.
	DecisionStop
)

// Decision requests that a task is started on a worker or preempted there.
type Decision struct {
	Kind   DecisionKind
	Task   identifier.TaskID
	Worker identifier.WorkerID
	Group  GroupID
	// For is the batch that a task is preempted for; it is empty for a start.
	For GroupID
}

// Placer assigns waiting tasks to workers by a policy. Set the exported fields before use.
type Placer[P Policy] struct {
	Policy   P
	Settings Settings
	Seed     uint64
	// DefaultQuota is the quota of a team that has none of its own.
	DefaultQuota Quota

	fleet             Fleet
	groups            *tabulator.Table[GroupID, group]
	teams             *tabulator.Table[identifier.TeamID, team]
	running           *tabulator.Table[identifier.TaskID, running]
	preemptionCounts  *tabulator.Table[identifier.TaskID, int]
	reservations      []*reservation
	random            *rand.Rand
	windowEnd         identifier.Moment
	windowPreemptions int
}

// AddWorker adds a worker or, if it is known, updates its capacity and makes it usable.
func (placer *Placer[P]) AddWorker(worker Worker) {
	placer.prepare()
	placer.fleet.add(worker)
}

// RemoveWorker removes a worker and returns the tasks that ran there, which are no longer
// charged.
func (placer *Placer[P]) RemoveWorker(worker identifier.WorkerID) []identifier.TaskID {
	placer.prepare()
	position, known := placer.fleet.positions[worker]
	if !known {
		return nil
	}
	var tasks []identifier.TaskID
	for len(placer.fleet.workers[position].running) > 0 {
		task := placer.fleet.workers[position].running[0].task
		tasks = append(tasks, task)
		placer.End(task)
	}
	placer.cancelReservation(placer.fleet.workers[position].reservation)
	placer.fleet.remove(position)
	return tasks
}

// SetUsable sets whether a worker accepts new tasks. A worker that stops accepting them
// loses its reservation.
func (placer *Placer[P]) SetUsable(worker identifier.WorkerID, usable bool) {
	placer.prepare()
	position, known := placer.fleet.positions[worker]
	if !known || placer.fleet.workers[position].usable == usable {
		return
	}
	placer.fleet.workers[position].usable = usable
	placer.fleet.updateIndex(position)
	if !usable {
		placer.cancelReservation(placer.fleet.workers[position].reservation)
	}
}

// SetQuota changes a team's quota. It applies to new starts only; running tasks continue.
func (placer *Placer[P]) SetQuota(name identifier.TeamID, quota Quota) {
	placer.team(name).quota = quota
}

// AddGroup adds a batch. A known batch is updated and keeps its tasks.
func (placer *Placer[P]) AddGroup(now identifier.Moment, wanted Group) {
	placer.prepare()
	if known := placer.groups.Get(wanted.ID); known != nil {
		known.Group = wanted
		return
	}
	placer.groups.Put(wanted.ID, &group{Group: wanted, team: placer.team(wanted.Team), waitingSince: now})
}

// Enqueue appends tasks to the queue of a batch, which must have been added.
func (placer *Placer[P]) Enqueue(now identifier.Moment, id GroupID, tasks ...identifier.TaskID) {
	group := placer.groups.Get(id)
	if len(group.waiting) == 0 {
		group.waitingSince = now
	}
	group.waiting = append(group.waiting, tasks...)
}

// Withdraw removes and returns the waiting tasks of a batch, and cancels its
// reservations.
func (placer *Placer[P]) Withdraw(id GroupID) []identifier.TaskID {
	placer.prepare()
	group := placer.groups.Get(id)
	if group == nil {
		return nil
	}
	waiting := group.waiting
	group.waiting = nil
	placer.cancelReservations(group)
	return waiting
}

// ForgetGroup drops a batch, unless it has waiting or running tasks.
func (placer *Placer[P]) ForgetGroup(id GroupID) {
	placer.prepare()
	if group := placer.groups.Get(id); group != nil && group.running == 0 && len(group.waiting) == 0 {
		placer.groups.Remove(id)
	}
}

// End removes a running task from its worker. It reports whether the task was running.
func (placer *Placer[P]) End(task identifier.TaskID) bool {
	placer.prepare()
	ended := placer.running.Get(task)
	if ended == nil {
		return false
	}
	placer.running.Remove(task)
	workerState := &placer.fleet.workers[ended.position]
	for position, other := range workerState.running {
		if other == ended {
			workerState.running = append(workerState.running[:position], workerState.running[position+1:]...)
			break
		}
	}
	placer.charge(ended, identifier.Resources{}.Sub(ended.charge))
	ended.group.team.inFlight--
	ended.group.adjustRunning(workerState.rackNumber, -1)
	return true
}

// ForgetTask drops the preemption count of a task that will not run again.
func (placer *Placer[P]) ForgetTask(task identifier.TaskID) { placer.preemptionCounts.Remove(task) }

// SetCharge changes the resources that a running task is charged.
func (placer *Placer[P]) SetCharge(task identifier.TaskID, charge identifier.Resources) {
	placer.prepare()
	charged := placer.running.Get(task)
	if charged == nil || charged.charge == charge {
		return
	}
	change := charge.Sub(charged.charge)
	charged.charge = charge
	placer.charge(charged, change)
}

// AdoptTask records a task that already runs on a worker, such as one whose lease was adopted
// from a former lead. It returns false if the worker is unknown or the task already runs.
func (placer *Placer[P]) AdoptTask(now identifier.Moment, id GroupID, task identifier.TaskID, worker identifier.WorkerID) bool {
	placer.prepare()
	position, known := placer.fleet.positions[worker]
	if !known || placer.running.Get(task) != nil {
		return false
	}
	placer.recordStart(now, placer.groups.Get(id), task, position)
	return true
}

// CouldRun reports whether need fits both the team's quota and the total capacity of some
// usable worker, ignoring the tasks that run now.
func (placer *Placer[P]) CouldRun(team identifier.TeamID, need identifier.Resources) bool {
	if !placer.team(team).quota.Allows(identifier.Resources{}, 0, need) {
		return false
	}
	return placer.fleet.capacity.next(0, need, nil) >= 0
}

// Overcommitted reports whether a worker's tasks are charged more than its capacity.
func (placer *Placer[P]) Overcommitted(worker identifier.WorkerID) bool {
	position, known := placer.fleet.positions[worker]
	return known && !placer.fleet.workers[position].used.Fits(placer.fleet.Capacity(position))
}

// TasksOn returns the running tasks of a worker in the order of their starts.
func (placer *Placer[P]) TasksOn(worker identifier.WorkerID) []identifier.TaskID {
	position, known := placer.fleet.positions[worker]
	if !known {
		return nil
	}
	var tasks []identifier.TaskID
	for _, running := range placer.fleet.workers[position].running {
		tasks = append(tasks, running.task)
	}
	return tasks
}

// Waiting returns the number of waiting tasks of a batch, and why it is blocked.
func (placer *Placer[P]) Waiting(id GroupID) (int, Blocked) {
	placer.prepare()
	group := placer.groups.Get(id)
	if group == nil || len(group.waiting) == 0 {
		return 0, BlockedNot
	}
	return len(group.waiting), group.blocked
}

// Used returns the resources that all running tasks are charged.
func (placer *Placer[P]) Used() identifier.Resources { return placer.fleet.used }

// Total returns the capacity of all workers.
func (placer *Placer[P]) Total() identifier.Resources { return placer.fleet.total }

// recordStart records a task as running on a worker, and charges it to the team.
func (placer *Placer[P]) recordStart(now identifier.Moment, group *group, task identifier.TaskID, position int) {
	started := &running{
		task:        task,
		group:       group,
		position:    position,
		charge:      group.Need,
		startedAt:   now,
		expectedEnd: now.Add(group.RunTime),
	}
	placer.running.Put(task, started)
	workerState := &placer.fleet.workers[position]
	workerState.running = append(workerState.running, started)
	placer.charge(started, started.charge)
	group.team.inFlight++
	group.adjustRunning(workerState.rackNumber, 1)
}

func (placer *Placer[P]) charge(charged *running, change identifier.Resources) {
	placer.fleet.charge(charged.position, change)
	team := charged.group.team
	team.used = team.used.Add(change)
}

func (placer *Placer[P]) team(name identifier.TeamID) *team {
	placer.prepare()
	known := placer.teams.Get(name)
	if known == nil {
		known = &team{number: placer.teams.Len(), quota: placer.DefaultQuota}
		placer.teams.Put(name, known)
	}
	return known
}

func (placer *Placer[P]) prepare() {
	if placer.groups != nil {
		return
	}
	placer.fleet.prepare()
	placer.groups = tabulator.New[GroupID, group]()
	placer.teams = tabulator.New[identifier.TeamID, team]()
	placer.running = tabulator.New[identifier.TaskID, running]()
	placer.preemptionCounts = tabulator.New[identifier.TaskID, int]()
	placer.random = rand.New(rand.NewPCG(placer.Seed, placer.Seed))
}
