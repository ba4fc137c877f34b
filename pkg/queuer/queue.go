// Package queuer holds the tasks that wait for a slot and decides which goes
// next. Teams share slots by start-time fair queueing, weighted; the jobs of one
// team go by an Order. Every operation costs O(log n) and, once as many teams
// and jobs have been seen as there are, allocates nothing.
//
// No job starves: between teams the one that was served least goes first, and
// within a team only jobs that arrive within a bounded time can overtake.
package queuer

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Settings tunes a queue.
type Settings struct {
	// Tolerance is how much slot time for each unit of weight one team may be
	// ahead of another before the other goes first. Within it, the job that is
	// due first goes first, whichever team it is of.
	Tolerance time.Duration
	// UrgentHeadStart is how much sooner an urgent job counts as due than another
	// of its team. It bounds how long urgent jobs can overtake others.
	UrgentHeadStart time.Duration
	// OverloadFrom is the work that asks to be admitted, as a share of what the
	// slots can do, from which on the slots count as overloaded.
	OverloadFrom float64
	// CalmAllowance and OverloadAllowance scale what a job beyond its team's share
	// may wait.
	CalmAllowance     float64
	OverloadAllowance float64
	// IdleTeams bounds the teams without queued tasks that are remembered.
	IdleTeams int
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Tolerance:         2500 * time.Millisecond,
		UrgentHeadStart:   time.Second,
		OverloadFrom:      1.2,
		CalmAllowance:     6,
		OverloadAllowance: 0.6,
		IdleTeams:         1024,
	}
}

// Queue holds jobs with payload P. Set the exported fields before use.
type Queue[P any, O Order] struct {
	Settings Settings
	Order    O

	teams map[identifier.TeamID]*team[P]
	// ready holds the teams with waiting tasks that may start more, idle those
	// without waiting tasks.
	ready ordered[*team[P]]
	idle  ordered[*team[P]]
	// recent holds the idle teams that are still active, in order of time.
	recent ordered[*team[P]]
	spare  []*team[P]
	// virtual is the tag of the team that was served last.
	virtual float64
	highest float64
	tasks   int
	work    time.Duration
	// weights sums the weights of the active teams.
	weights int
	// offered measures the work that asked to be admitted, admitted that which was.
	offered  meter
	admitted meter
	backlogs backlogs
	sequence uint64
	// latest is the last moment that was passed in.
	latest identifier.Moment
}

// Tasks returns how many tasks wait.
func (queue *Queue[P, O]) Tasks() int { return queue.tasks }

// Work returns the expected slot time of all waiting tasks.
func (queue *Queue[P, O]) Work() time.Duration { return queue.work }

// TeamTasks returns how many tasks of a team wait.
func (queue *Queue[P, O]) TeamTasks(id identifier.TeamID) int {
	if team := queue.teams[id]; team != nil {
		return team.tasks
	}
	return 0
}

// Push adds waiting tasks to a job, which may be in the queue already. The
// team's weight is taken over.
func (queue *Queue[P, O]) Push(now identifier.Moment, entry *Entry[P], tasks, weight int) {
	if tasks <= 0 {
		return
	}
	queue.latest = now
	team := queue.open(entry.Team)
	backlog := team.backlogs.of(entry.Urgent)
	backlog.advance(now)
	queue.backlogs.of(entry.Urgent).advance(now)
	if entry.waiting == 0 {
		queue.sequence++
		entry.sequence = queue.sequence
		entry.team = team
		entry.key = entry.Due
		if !entry.Urgent {
			entry.key = entry.Due.Add(queue.Settings.UrgentHeadStart)
		}
		entry.bucket = backlog.bucketFor(entry.Due)
		work := time.Duration(tasks) * entry.Cost
		team.admitted.add(now, work)
		queue.admitted.add(now, work)
		team.jobs.push(entry)
	}
	queue.setWeight(team, max(weight, 1))
	queue.count(entry, tasks)
	queue.relist(team)
}

// Next returns the job whose task goes next, or nil.
func (queue *Queue[P, O]) Next() *Entry[P] {
	if len(queue.ready.members) == 0 {
		return nil
	}
	return queue.ready.members[0].jobs.members[0]
}

// Serve takes one task out of the queue and charges it to the team.
func (queue *Queue[P, O]) Serve(now identifier.Moment, entry *Entry[P]) {
	queue.latest = now
	team := entry.team
	queue.virtual = max(queue.virtual, team.tag)
	queue.charge(team, entry.Cost, entry.ClassWeight)
	queue.Take(entry, 1)
}

// Take removes waiting tasks of a job without charging them to the team.
func (queue *Queue[P, O]) Take(entry *Entry[P], tasks int) {
	tasks = min(tasks, entry.waiting)
	if tasks <= 0 {
		return
	}
	team := entry.team
	queue.count(entry, -tasks)
	if entry.waiting == 0 {
		team.jobs.remove(entry)
		entry.team = nil
	}
	queue.relist(team)
}

// Remove takes a job out with all its waiting tasks.
func (queue *Queue[P, O]) Remove(entry *Entry[P]) { queue.Take(entry, entry.waiting) }

// Correct charges a team for the difference between the slot time that a task
// took and the cost that it was served at.
func (queue *Queue[P, O]) Correct(id identifier.TeamID, difference time.Duration, classWeight int) {
	team := queue.teams[id]
	if team == nil {
		return
	}
	queue.charge(team, difference, classWeight)
	queue.relist(team)
}

// SetPaused holds a team's tasks back, or lets them go on. A team saves nothing
// up while it is paused.
func (queue *Queue[P, O]) SetPaused(id identifier.TeamID, paused bool) {
	team := queue.teams[id]
	if team == nil || team.paused == paused {
		return
	}
	team.paused = paused
	if !paused {
		queue.setTag(team, max(team.tag, queue.virtual))
	}
	queue.relist(team)
}

func (queue *Queue[P, O]) count(entry *Entry[P], tasks int) {
	team := entry.team
	work := time.Duration(tasks) * entry.Cost
	if !team.active {
		team.active = true
		queue.weights += team.weight
	}
	entry.waiting += tasks
	team.tasks += tasks
	team.backlogs.of(entry.Urgent).add(entry.bucket, work)
	queue.backlogs.of(entry.Urgent).add(entry.bucket, work)
	queue.tasks += tasks
	queue.work += work
}

func (queue *Queue[P, O]) setWeight(team *team[P], weight int) {
	if team.active {
		queue.weights += weight - team.weight
	}
	team.weight = weight
}

func (queue *Queue[P, O]) charge(team *team[P], cost time.Duration, classWeight int) {
	share := float64(team.weight) * float64(max(classWeight, 1))
	queue.setTag(team, team.tag+float64(cost)/share)
}

func (queue *Queue[P, O]) setTag(team *team[P], tag float64) {
	team.tag = tag
	team.rank = math.Floor(tag / float64(max(queue.Settings.Tolerance, 1)))
	queue.highest = max(queue.highest, tag)
}
