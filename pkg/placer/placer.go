// Package placer decides which worker runs which task. It serves the workers of
// one failure domain.
//
// Higher urgency goes first; within one, the team with the smallest dominant
// share goes first (dominant resource fairness). A batch whose next task fits
// nowhere gets a reservation on a worker, which others may only use for tasks
// that end in time (backfill), so that wide tasks don't starve among narrow ones.
// Urgent batches may preempt a bounded number of less urgent tasks.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings of a placer.
type Settings struct {
	// HeadroomPermille is the share of processors and memory that only urgent
	// batches may use.
	HeadroomPermille int64
	// Aging is the wait after which a batch counts as one step more urgent.
	Aging time.Duration
	// ReserveAfter is the wait after which a blocked batch gets a reservation.
	ReserveAfter time.Duration
	// ReservedPermille is the highest share of workers that are reserved at once;
	// one worker may always be.
	ReservedPermille int
	// PreemptionsPerWindow bounds the tasks preempted within each Window.
	PreemptionsPerWindow int
	Window               time.Duration
	// PreemptionsPerTask bounds how often the same task is preempted.
	PreemptionsPerTask int
	// DecisionsPerCall bounds the starts of one call of Place.
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

// DecisionKind says what is to be done with a task.
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

// Decision is one step of the placer.
type Decision struct {
	Kind   DecisionKind
	Task   identifier.TaskID
	Worker identifier.WorkerID
	Group  GroupID
	// For is the batch that a task is preempted for.
	For GroupID
}

// Placer places tasks by a policy. Set the exported fields before use.
type Placer[P Policy] struct {
	Policy   P
	Settings Settings
	Seed     uint64
	// DefaultQuota is that of a team without its own.
	DefaultQuota Quota

	fleet        Fleet
	groups       *tabulator.Table[GroupID, group]
	teams        *tabulator.Table[identifier.TeamID, team]
	running      *tabulator.Table[identifier.TaskID, running]
	preempted    *tabulator.Table[identifier.TaskID, int]
	reservations []*reservation
	random       *rand.Rand
	windowEnds   identifier.Moment
	windowCount  int
}

// AddWorker takes a worker in, or changes its capacity.
func (placer *Placer[P]) AddWorker(worker Worker) {
	placer.prepare()
	placer.fleet.add(worker)
}

// RemoveWorker takes a worker away and returns the tasks that ran there. They
// are no longer charged.
func (placer *Placer[P]) RemoveWorker(worker identifier.WorkerID) []identifier.TaskID {
	placer.prepare()
	position, known := placer.fleet.positions[worker]
	if !known {
		return nil
	}
	var tasks []identifier.TaskID
	for len(placer.fleet.seats[position].running) > 0 {
		task := placer.fleet.seats[position].running[0].task
		tasks = append(tasks, task)
		placer.End(task)
	}
	placer.cancelReservation(placer.fleet.seats[position].held)
	placer.fleet.remove(position)
	return tasks
}

// SetUsable says whether a worker takes new tasks.
func (placer *Placer[P]) SetUsable(worker identifier.WorkerID, usable bool) {
	placer.prepare()
	position, known := placer.fleet.positions[worker]
	if !known || placer.fleet.seats[position].usable == usable {
		return
	}
	placer.fleet.seats[position].usable = usable
	placer.fleet.index(position)
	if !usable {
		placer.cancelReservation(placer.fleet.seats[position].held)
	}
}

// SetQuota changes a team's quota. What runs goes on; only new starts heed it.
func (placer *Placer[P]) SetQuota(name identifier.TeamID, quota Quota) {
	placer.team(name).quota = quota
}

// AddGroup makes a batch known. A batch that is known keeps its tasks.
func (placer *Placer[P]) AddGroup(now identifier.Moment, wanted Group) {
	placer.prepare()
	if known := placer.groups.Get(wanted.ID); known != nil {
		known.Group = wanted
		return
	}
	placer.groups.Put(wanted.ID, &group{Group: wanted, team: placer.team(wanted.Team), since: now})
}

// Enqueue lets tasks of a batch wait for a worker, behind those that wait.
func (placer *Placer[P]) Enqueue(now identifier.Moment, id GroupID, tasks ...identifier.TaskID) {
	group := placer.groups.Get(id)
	if len(group.waiting) == 0 {
		group.since = now
	}
	group.waiting = append(group.waiting, tasks...)
}

// Withdraw drops the waiting tasks of a batch and returns them.
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

// Forget drops a batch that has neither waiting nor running tasks.
func (placer *Placer[P]) Forget(id GroupID) {
	placer.prepare()
	if group := placer.groups.Get(id); group != nil && group.running == 0 && len(group.waiting) == 0 {
		placer.groups.Remove(id)
	}
}

// End takes a running task off its worker and tells whether it ran.
func (placer *Placer[P]) End(task identifier.TaskID) bool {
	placer.prepare()
	ended := placer.running.Get(task)
	if ended == nil {
		return false
	}
	placer.running.Remove(task)
	seat := &placer.fleet.seats[ended.position]
	for position, other := range seat.running {
		if other == ended {
			seat.running = append(seat.running[:position], seat.running[position+1:]...)
			break
		}
	}
	placer.charge(ended, identifier.Resources{}.Sub(ended.charge))
	ended.group.team.inFlight--
	ended.group.countInRack(seat.rack, -1)
	return true
}

// Done drops what is remembered of a task that will not run again.
func (placer *Placer[P]) Done(task identifier.TaskID) { placer.preempted.Remove(task) }

// Recharge changes what a running task is charged.
func (placer *Placer[P]) Recharge(task identifier.TaskID, charge identifier.Resources) {
	placer.prepare()
	charged := placer.running.Get(task)
	if charged == nil || charged.charge == charge {
		return
	}
	change := charge.Sub(charged.charge)
	charged.charge = charge
	placer.charge(charged, change)
}

// Occupy records a task that already runs on a worker, as when its lease was
// adopted from a former lead.
func (placer *Placer[P]) Occupy(now identifier.Moment, id GroupID, task identifier.TaskID, worker identifier.WorkerID) bool {
	placer.prepare()
	position, known := placer.fleet.positions[worker]
	if !known || placer.running.Get(task) != nil {
		return false
	}
	placer.begin(now, placer.groups.Get(id), task, position)
	return true
}

// CouldRun tells whether a usable worker, were it empty, and the team's quota
// could hold need.
func (placer *Placer[P]) CouldRun(team identifier.TeamID, need identifier.Resources) bool {
	if !placer.team(team).quota.Allows(identifier.Resources{}, 0, need) {
		return false
	}
	return placer.fleet.capacity.next(0, need, nil) >= 0
}

// Overcommitted tells whether a worker's tasks are charged more than it has.
func (placer *Placer[P]) Overcommitted(worker identifier.WorkerID) bool {
	position, known := placer.fleet.positions[worker]
	return known && !placer.fleet.seats[position].used.Fits(placer.fleet.Capacity(position))
}

// TasksOn returns the tasks of a worker in the order of their starts.
func (placer *Placer[P]) TasksOn(worker identifier.WorkerID) []identifier.TaskID {
	position, known := placer.fleet.positions[worker]
	if !known {
		return nil
	}
	var tasks []identifier.TaskID
	for _, running := range placer.fleet.seats[position].running {
		tasks = append(tasks, running.task)
	}
	return tasks
}

// Waiting returns the number of waiting tasks of a batch, and what holds it up.
func (placer *Placer[P]) Waiting(id GroupID) (int, Blocked) {
	placer.prepare()
	group := placer.groups.Get(id)
	if group == nil || len(group.waiting) == 0 {
		return 0, BlockedNot
	}
	return len(group.waiting), group.blocked
}

// Used returns what all tasks are charged.
func (placer *Placer[P]) Used() identifier.Resources { return placer.fleet.used }

// Total returns what all workers offer.
func (placer *Placer[P]) Total() identifier.Resources { return placer.fleet.total }

// begin puts a task on a worker.
func (placer *Placer[P]) begin(now identifier.Moment, group *group, task identifier.TaskID, position int) {
	started := &running{
		task:        task,
		group:       group,
		position:    position,
		charge:      group.Need,
		startedAt:   now,
		expectedEnd: now.Add(group.RunTime),
	}
	placer.running.Put(task, started)
	seat := &placer.fleet.seats[position]
	seat.running = append(seat.running, started)
	placer.charge(started, started.charge)
	group.team.inFlight++
	group.countInRack(seat.rack, 1)
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
	placer.preempted = tabulator.New[identifier.TaskID, int]()
	placer.random = rand.New(rand.NewPCG(placer.Seed, placer.Seed))
}
